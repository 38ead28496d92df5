package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writePassthrough creates a settings file of a pass-through instance whose
// platform address is unreachable.
func writePassthrough(t *testing.T) string {
	file := filepath.Join(t.TempDir(), "settings.toml")
	assert.NilError(t, os.WriteFile(file, []byte(`[instance]
id = "a-1"
data_centre = "a"
[passthrough]
listen = "127.0.0.1:0"
ready = "127.0.0.1:0"
platform = "127.0.0.1:1"
grace = "1s"
`), 0o600))
	return file
}

// Guards against SIGHUP terminating the process. This was found on the users'
// test bench, where settings files change during operation.
func TestPassthroughSurvivesHangup(t *testing.T) {
	file := writePassthrough(t)
	p := startProcess(t, file)
	time.Sleep(500 * time.Millisecond)
	p.signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	assert.Equal(t, p.waitExitCode(), exitSuccess)
	output := p.stdout.String()
	assert.Equal(t, strings.Count(output, "msg=reloaded"), 1, output)
	assert.Equal(t, strings.Count(output, "msg=stopped"), 1, output)
}

// Guards against invalid settings that are accepted or not reported.
func TestPassthroughSettingsFault(t *testing.T) {
	file := writePassthrough(t)
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(file, fmt.Appendf(data, "flow_life = \"0s\"\n"), 0o600))
	p := startProcess(t, file)
	assert.Equal(t, p.waitExitCode(), exitUsage)
	assert.Assert(t, strings.Contains(p.stderr.String(), `line 9: key passthrough.flow_life: is "0s"`), p.stderr.String())
}
