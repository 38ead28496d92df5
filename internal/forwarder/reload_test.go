package forwarder

import (
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
)

// Guards against settings that are not read again when the file changes without a
// signal, against a file with faults that changes anything, and against changes
// that need a restart and are not reported.
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
	f, err := New(s.Passthrough, &log, &log)
	assert.NilError(t, err)
	last := func() string {
		time.Sleep(50 * time.Millisecond) // the writer of the log is a goroutine
		lines := strings.Split(strings.TrimSpace(log.String()), "\n")
		return lines[len(lines)-1]
	}
	write("warn", "grace='9s'\n")
	f.applySettings("signal")
	assert.Equal(t, f.level.Level(), slog.LevelWarn)
	write("info", "")
	f.applySettings("signal")
	assert.Assert(t, strings.HasSuffix(last(), "msg=reloaded instance=a cause=signal log_level=INFO restart_needed=false"), last())
	write("debug", "grace='1ms'\n")
	f.applySettings("signal")
	assert.Assert(t, strings.Contains(last(), "msg=reload-refused"), last())
	assert.Equal(t, f.level.Level(), slog.LevelInfo)
	write("info", "grace='9s'\n")
	f.applySettings("signal")
	assert.Assert(t, strings.HasSuffix(last(), "restart_needed=true"), last())

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go f.watchSettings(ctx)
	time.Sleep(50 * time.Millisecond)
	write("debug", "")
	assert.NilError(t, os.Chtimes(file, time.Now(), time.Now().Add(time.Minute)))
	for range 2 * settingsPoll / (100 * time.Millisecond) {
		if f.level.Level() == slog.LevelDebug {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	assert.Equal(t, f.level.Level(), slog.LevelDebug)
	f.out.Close()
	assert.NilError(t, f.conn.Close())
}
