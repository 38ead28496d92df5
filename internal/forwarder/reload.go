package forwarder

import (
	"context"
	"os"
	"reflect"
	"time"

	"arbutusdock.example/arbutusdock/internal/settings"
)

// settingsPoll is the interval at which the settings file is checked for a
// change that no signal has announced. One look at its time of change costs a
// few microseconds.
const settingsPoll = 5 * time.Second

// Reload asks for the settings file to be read again. It does not wait.
func (f *Forwarder) Reload() {
	select {
	case f.reload <- struct{}{}:
	default: // one is already asked for
	}
}

// watchSettings reads the settings again when asked to, or when the file has
// changed.
func (f *Forwarder) watchSettings(ctx context.Context) {
	if f.settings.File == "" {
		return
	}
	ticker := time.NewTicker(settingsPoll)
	defer ticker.Stop()
	last := modified(f.settings.File)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.reload:
			last = modified(f.settings.File)
			f.applySettings("signal")
		case <-ticker.C:
			if at := modified(f.settings.File); !at.Equal(last) {
				last = at
				f.applySettings("file changed")
			}
		}
	}
}

// modified returns the time of the last change of a file, zero when it cannot
// be read; the file may be absent while it is replaced.
func modified(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// applySettings puts the log level of the file in force and reports what takes
// effect at the next start only. A file with faults changes nothing.
func (f *Forwarder) applySettings(cause string) {
	s, err := settings.Load(f.settings.File)
	if err != nil {
		f.log.Error("reload-refused", "cause", cause, "error", err)
		return
	}
	if s.Passthrough == nil {
		f.log.Error("reload-refused", "cause", cause, "error", "the table [passthrough] is gone")
		return
	}
	f.level.Set(s.Passthrough.Log.Level)
	next := *s.Passthrough
	next.Log = f.settings.Log
	f.log.Info("reloaded", "cause", cause, "log_level", f.level.Level(), "restart_needed", !reflect.DeepEqual(next, *f.settings))
}
