// Package reload reads the settings file of a running instance again: when
// asked to, and when the file has changed. The log level takes effect at once;
// of all else it reports that a restart is needed.
package reload

import (
	"context"
	"log/slog"
	"os"
	"reflect"
	"time"

	"arbutusdock.example/arbutusdock/internal/settings"
)

// settingsPoll is the interval at which the settings file is checked for a
// change that no signal has announced. One look at its time of change costs a
// few microseconds.
const pollInterval = 5 * time.Second

// Watcher watches the settings file of one instance.
type Watcher struct {
	running  settings.Settings // with which the instance was started
	level    *slog.LevelVar
	log      *slog.Logger
	requests chan struct{}
}

// New returns a Watcher of the file from which the running settings were read.
// It changes level, and logs to log.
func New(running settings.Settings, level *slog.LevelVar, log *slog.Logger) *Watcher {
	return &Watcher{running: running, level: level, log: log, requests: make(chan struct{}, 1)}
}

// Reload asks for the settings file to be read again. It does not wait.
func (w *Watcher) Reload() {
	select {
	case w.requests <- struct{}{}:
	default: // one is already asked for
	}
}

// Run reads the settings again when asked to, or when the file has changed,
// until ctx ends.
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

// modified returns the time of the last change of a file, zero when it cannot
// be read; the file may be absent while it is replaced.
func modTime(file string) time.Time {
	info, err := os.Stat(file)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// apply puts the log level of the file in force and reports whether anything
// else differs from the start. A file with faults changes nothing.
func (w *Watcher) apply(cause string) {
	loaded, err := settings.Load(w.running.File)
	if err != nil {
		w.log.Error("reload-refused", "cause", cause, "error", err)
		return
	}
	if (loaded.Passthrough == nil) != (w.running.Passthrough == nil) {
		w.log.Error("reload-refused", "cause", cause, "error", "the table [passthrough] has come or gone")
		return
	}
	w.level.Set(logSettings(&loaded).Level)
	*logSettings(&loaded) = *logSettings(&w.running)
	w.log.Info("reloaded", "cause", cause, "log_level", w.level.Level(), "restart_needed", !reflect.DeepEqual(loaded, w.running))
}

// logs returns the log settings of either kind of instance.
func logSettings(s *settings.Settings) *settings.Log {
	if s.Passthrough != nil {
		return &s.Passthrough.Log
	}
	return &s.Log
}
