package reload

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/settings"
	"arbutusdock.example/arbutusdock/internal/syncbuf"
	"arbutusdock.example/arbutusdock/internal/telemetry"
)

// Guards against a CoAP instance whose settings cannot be reloaded, and against
// accepting a file that would turn it into a pass-through instance.
func TestReloadCoAP(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	text, err := os.ReadFile("../../docs/examples/arbutusdockd.toml")
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, text, 0o600))
	s, err := settings.Load(file)
	assert.NilError(t, err)
	var log syncbuf.Buffer
	level := new(slog.LevelVar)
	w := New(s, level, telemetry.NewLogger(&log, level, "a"))
	assert.NilError(t, os.WriteFile(file, bytes.Replace(text, []byte(`level = "info"`), []byte(`level = "debug"`), 1), 0o600))
	w.apply("signal")
	assert.Assert(t, strings.HasSuffix(strings.TrimSpace(log.String()), "cause=signal log_level=DEBUG restart_needed=false"), log.String())
	assert.NilError(t, os.WriteFile(file, []byte("instance={id='a',data_centre='a'}\n[passthrough]\nlisten='127.0.0.1:0'\nready='127.0.0.1:0'\nplatform='127.0.0.1:1'\n"), 0o600))
	w.apply("signal")
	assert.Assert(t, strings.Contains(log.String(), "reload-refused"), log.String())
	assert.Equal(t, level.Level(), slog.LevelDebug)
}

// Guards against settings that are not reloaded when the file changes without a
// signal, against an invalid file that changes the log level, and against
// changes that need a restart and are not reported.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.toml")
	write := func(level, extra string) {
		text := fmt.Sprintf("instance={id='a',data_centre='a'}\nlog.level=%q\n[passthrough]\nlisten='127.0.0.1:0'\nready='127.0.0.1:0'\nplatform='127.0.0.1:1'\n%s", level, extra)
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	}
	write("info", "")
	s, err := settings.Load(file)
	assert.NilError(t, err)
	var log syncbuf.Buffer
	level := new(slog.LevelVar)
	level.Set(s.Passthrough.Log.Level)
	w := New(s, level, telemetry.NewLogger(&log, level, "a"))
	lastLine := func() string {
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		return lines[len(lines)-1]
	}
	write("warn", "grace='9s'\n")
	w.apply("signal")
	assert.Equal(t, w.level.Level(), slog.LevelWarn)
	write("info", "")
	w.apply("signal")
	assert.Assert(t, strings.HasSuffix(lastLine(), "msg=reloaded instance=a cause=signal log_level=INFO restart_needed=false"), lastLine())
	write("debug", "grace='1ms'\n")
	w.apply("signal")
	assert.Assert(t, strings.Contains(lastLine(), "msg=reload-refused"), lastLine())
	assert.Equal(t, w.level.Level(), slog.LevelInfo)
	write("info", "grace='9s'\n")
	w.apply("signal")
	assert.Assert(t, strings.HasSuffix(lastLine(), "restart_needed=true"), lastLine())

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Run(ctx)
	time.Sleep(50 * time.Millisecond)
	write("debug", "")
	assert.NilError(t, os.Chtimes(file, time.Now(), time.Now().Add(time.Minute)))
	for range 2 * pollInterval / (100 * time.Millisecond) {
		if w.level.Level() == slog.LevelDebug {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, w.level.Level(), slog.LevelDebug)
}
