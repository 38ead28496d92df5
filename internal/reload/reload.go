// Package reload reloads the settings file of a running instance, on request or
// when the file has changed. A new log level takes effect at once; for any other
// change it logs that a restart is needed.
package reload

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"arbutusdock.example/arbutusdock/internal/settings"
)

// pollInterval is the interval at which the modification time of the settings
// file is checked, to detect changes without a signal. One check takes a few
// microseconds.
const pollInterval = 5 * time.Second

// Watcher watches the settings file of one instance.
type Watcher struct {
	running  settings.Settings // settings with which the instance was started
	level    *slog.LevelVar
	log      *slog.Logger
	requests chan struct{}
}

// New returns a Watcher of the file from which the running settings were read.
// The Watcher sets level on a reload and logs to log.
func New(running settings.Settings, level *slog.LevelVar, log *slog.Logger) *Watcher {
	return &Watcher{running: running, level: level, log: log, requests: make(chan struct{}, 1)}
}

// Reload requests a reload of the settings file and returns without waiting for
// it.
func (w *Watcher) Reload() {
	select {
	case w.requests <- struct{}{}:
	default: // a reload is already pending
	}
}

// Run reloads the settings on request and when the file has changed, until ctx
// ends.
func (w *Watcher) Run(ctx context.Context) {
	if w.running.File == "" {
		return
	}
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastModTime := modTime(w.running.File)
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.requests:
			lastModTime = modTime(w.running.File)
			w.apply("signal")
		case <-ticker.C:
			if current := modTime(w.running.File); !current.Equal(lastModTime) {
				lastModTime = current
				w.apply("file changed")
			}
		}
	}
}

// modTime returns the modification time of a file, or the zero time if it cannot
// be read; the file can be absent for a moment while it is replaced.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// apply loads the file, sets the log level from it and logs whether any other
// setting differs from those at startup. A file with faults changes nothing.
func (w *Watcher) apply(cause string) {
	loaded, err := settings.Load(w.running.File)
	if err != nil {
		w.log.Error("reload-refused", "cause", cause, "error", err)
		return
	}
	if (loaded.Passthrough == nil) != (w.running.Passthrough == nil) {
		w.log.Error("reload-refused", "cause", cause, "error", "the table [passthrough] was added or removed")
		return
	}
	w.level.Set(logSettings(&loaded).Level)
	*logSettings(&loaded) = *logSettings(&w.running)
	w.log.Info("reloaded", "cause", cause, "log_level", w.level.Level(), "restart_needed", !reflect.DeepEqual(loaded, w.running))
}

// logSettings returns the log settings of a CoAP or a pass-through instance.
func logSettings(s *settings.Settings) *settings.Log {
	if s.Passthrough != nil {
		return &s.Passthrough.Log
	}
	return &s.Log
}
