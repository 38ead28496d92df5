package wire

// BackendCounts is what the backend servers of one process have counted.
type BackendCounts struct {
	Targets    map[string]TargetCounts    `json:"targets"` // by service/target
	Executions map[string]ExecutionCounts `json:"runs"`    // by request id
}

// TargetCounts are the counts of one backend server.
type TargetCounts struct {
	Service            string `json:"service"`
	DataCentre         string `json:"data_centre"`
	Requests           int    `json:"requests"`
	Executions         int    `json:"runs"`
	Shed               int    `json:"shed"`      // 5.03, not run
	Cancelled          int    `json:"cancelled"` // ended by RST
	Expired            int    `json:"expired"`   // ended by the deadline
	WrongService       int    `json:"foreign"`   // requests of another service
	Feeds              int    `json:"feeds"`     // open now
	FeedsOpened        int    `json:"feeds_opened"`
	FeedsClosedByDrain int    `json:"feeds_cut"` // still open when the drain ended
	Readings           int    `json:"readings"`  // acknowledged notifications
	LateWork           int    `json:"late_work"` // requests begun more than 5 s after the start of the drain
	MaxRunning         int    `json:"max_running"`
}

// Run counts the executions of one request id.
type ExecutionCounts struct {
	Count  int  `json:"n"`
	Post   bool `json:"post,omitempty"`
	Ended  int  `json:"ended"`  // executions that came to their end
	Blocks int  `json:"blocks"` // follow-up blocks served
}

// CallerResult is what one caller process has counted.
type CallerResult struct {
	User     string                  `json:"user"`
	Classes  map[string]*ClassCounts `json:"classes"`
	Refused  []string                `json:"refused"`  // attempt ids answered as not run
	Deferred []string                `json:"deferred"` // attempt ids told only when to come back
	Failures []Failure               `json:"failures"`
	Feeds    FeedCounts              `json:"feeds"`
}

// Class counts the operations of one class of request. Times are in
// microseconds from the first transmission to the final answer.
type ClassCounts struct {
	Started        int   `json:"started"`
	OK             int   `json:"ok"`
	Refused        int   `json:"refused"` // given up after refusals
	Unknown        int   `json:"unknown"` // 5.04
	Lost           int   `json:"lost"`
	WrongContent   int   `json:"wrong"`
	Failed         int   `json:"failed"`    // other answers
	Retries        int   `json:"comebacks"` // attempts after a 5.03
	Resends        int   `json:"repeats"`   // the same request again after a time-out
	EchoChallenges int   `json:"echoes"`    // 4.01 with an admission token
	P50            int64 `json:"p50_us"`
	P90            int64 `json:"p90_us"`
	P99            int64 `json:"p99_us"`
	Max            int64 `json:"max_us"`
}

// Kinds of Failure.
const (
	KindLost         = "lost"
	KindWrongContent = "crossed"
	KindUnknown      = "unknown"
	KindRefused      = "refused"
	KindFailed       = "failed"
	KindFeedEnded    = "feed ended"
	KindFeedSilent   = "feed silent"
)

// Failure is an operation or feed that did not end as it should. Start and End
// are Unix times in milliseconds; for a feed they delimit the break, and End is
// 0 when the feed never came back.
type Failure struct {
	ID     string `json:"id"`
	Class  string `json:"class"`
	Kind   string `json:"kind"`
	Start  int64  `json:"start_ms"`
	End    int64  `json:"end_ms"`
	Detail string `json:"detail,omitempty"`
}

// Feeds counts the readings of all feeds.
type FeedCounts struct {
	Opened     int `json:"opened"`
	Readings   int `json:"readings"`
	Missing    int `json:"missing"`  // sequence numbers never seen
	Repeated   int `json:"repeated"` // the newest reading again
	OutOfOrder int `json:"older"`    // a reading older than one already seen
	Refreshes  int `json:"refreshes"`
	Breaks     int `json:"breaks"`
}
