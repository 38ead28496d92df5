package wire

// BackendCounts holds the counters of all backend servers of one process.
type BackendCounts struct {
	Targets    map[string]TargetCounts    `json:"targets"` // key: "service/target"
	Executions map[string]ExecutionCounts `json:"runs"`    // key: request id
}

// TargetCounts holds the counters of one backend server.
type TargetCounts struct {
	Service            string `json:"service"`
	DataCentre         string `json:"data_centre"`
	Requests           int    `json:"requests"`
	Executions         int    `json:"runs"`
	Shed               int    `json:"shed"`      // answered with 5.03 without running
	Cancelled          int    `json:"cancelled"` // stopped by an RST from the requester
	Expired            int    `json:"expired"`   // stopped because the deadline passed
	WrongService       int    `json:"foreign"`   // requests that belong to another service
	Feeds              int    `json:"feeds"`     // currently open
	FeedsOpened        int    `json:"feeds_opened"`
	FeedsClosedByDrain int    `json:"feeds_cut"`        // still open when the drain grace period ended
	Readings           int    `json:"readings"`         // acknowledged notifications
	SkippedReadings    int    `json:"skipped_readings"` // not sent to an open feed since a newer one was due
	LateWork           int    `json:"late_work"`        // requests and feeds started more than 5 s after the drain began
	MaxRunning         int    `json:"max_running"`
}

// ExecutionCounts holds the counters of one request id.
type ExecutionCounts struct {
	Count  int  `json:"n"`
	Post   bool `json:"post,omitempty"`
	Ended  int  `json:"ended"`  // executions that completed
	Blocks int  `json:"blocks"` // follow-up blocks served
}

// CallerResult holds the counters of one caller process.
type CallerResult struct {
	User     string                  `json:"user"`
	Classes  map[string]*ClassCounts `json:"classes"`
	Refused  []string                `json:"refused"`  // ids of attempts rejected with a statement that they did not run
	Deferred []string                `json:"deferred"` // ids of attempts rejected with only a retry time
	// DeferredCopies is like Deferred, for attempts that the caller may have sent more
	// than once: the response came no sooner than ACK_TIMEOUT.
	DeferredCopies []string   `json:"deferred_copies"`
	Failures       []Failure  `json:"failures"`
	Feeds          FeedCounts `json:"feeds"`
}

// ClassCounts holds the counters of one class of requests. Latencies are in
// microseconds, from the first transmission to the final response.
type ClassCounts struct {
	Started        int   `json:"started"`
	OK             int   `json:"ok"`
	Refused        int   `json:"refused"`   // still refused after the last retry
	Unknown        int   `json:"unknown"`   // answered with 5.04: outcome unknown
	Lost           int   `json:"lost"`      // no complete response in time
	WrongContent   int   `json:"wrong"`     // response content that failed verification
	Failed         int   `json:"failed"`    // any other response code
	Retries        int   `json:"comebacks"` // new attempts after a 5.03
	Resends        int   `json:"repeats"`   // the same request sent again after a timeout
	EchoChallenges int   `json:"echoes"`    // 4.01 responses with an admission token in the Echo option
	P50            int64 `json:"p50_us"`
	P90            int64 `json:"p90_us"`
	P99            int64 `json:"p99_us"`
	Max            int64 `json:"max_us"`
}

// Values of Failure.Kind.
const (
	KindLost         = "lost"
	KindWrongContent = "crossed"
	KindUnknown      = "unknown"
	KindRefused      = "refused"
	KindFailed       = "failed"
	KindFeedEnded    = "feed ended"
	KindFeedSilent   = "feed silent"
)

// Failure describes a failed operation or an interrupted feed. Start and End are
// Unix times in milliseconds. For a feed they delimit the interruption; End is 0
// if the feed did not recover.
type Failure struct {
	ID     string `json:"id"`
	Class  string `json:"class"`
	Kind   string `json:"kind"`
	Start  int64  `json:"start_ms"`
	End    int64  `json:"end_ms"`
	Detail string `json:"detail,omitempty"`
}

// FeedCounts holds the counters of all feeds of one caller process.
type FeedCounts struct {
	Opened     int `json:"opened"`
	Readings   int `json:"readings"`
	Missing    int `json:"missing"`  // skipped sequence numbers
	Repeated   int `json:"repeated"` // the newest reading received again
	OutOfOrder int `json:"older"`    // a reading older than the newest one received
	Refreshes  int `json:"refreshes"`
	Breaks     int `json:"breaks"`
}
