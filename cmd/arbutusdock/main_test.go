package main

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"arbutusdock.example/arbutusdock/internal/config"
	"arbutusdock.example/arbutusdock/internal/core"
	"arbutusdock.example/arbutusdock/internal/daemon"
	"arbutusdock.example/arbutusdock/internal/ids"
	"arbutusdock.example/arbutusdock/internal/peerwire"
	"arbutusdock.example/arbutusdock/internal/settings"
	"arbutusdock.example/arbutusdock/internal/spread"
)

func runTool(args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	code = run(args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against changes to exit codes and usage texts that scripts rely on.
func TestUsage(t *testing.T) {
	for _, test := range []struct {
		args []string
		code int
		text string
	}{
		{[]string{"--help"}, exitSuccess, "Usage: arbutusdock"},
		{[]string{"check", "--help"}, exitSuccess, "--kind"},
		{nil, exitUsage, "missing subcommand"},
		{[]string{"publish"}, exitUsage, "publish"},
		{[]string{"keys"}, exitFailed, "ca, instance, admission"},
		{[]string{"show", "127.0.0.1:1"}, exitFailed, "admin interface 127.0.0.1:1"},
	} {
		code, out, errOut := runTool(test.args...)
		assert.Equal(t, code, test.code, "%v: %s%s", test.args, out, errOut)
		assert.Assert(t, strings.Contains(out+errOut, test.text), "%v: %s%s", test.args, out, errOut)
	}
}

// Guards against faults that are printed without file and line, or that do not
// make the command fail.
func TestCheck(t *testing.T) {
	const testdata = "../../internal/settings/testdata/"
	code, out, _ := runTool("check", testdata+"bad/many.toml", testdata+"good/full.toml")
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(out, "many.toml: line 5: key instance.colour: unknown key\n"), out)
	assert.Assert(t, strings.Contains(out, "full.toml: no faults\n"), out)
	const documents = "../../internal/config/testdata/"
	code, out, _ = runTool("check", documents+"bad/profile-ranges.toml", documents+"bad/service-ranges.toml")
	assert.Equal(t, code, exitFailed)
	assert.Assert(t, strings.Contains(out, "profile-ranges.toml: line 2: key spread.long_share: "), out)
	assert.Assert(t, strings.Contains(out, "service-ranges.toml: line "), out)
	code, out, _ = runTool("check", documents+"good/profile-full.toml", documents+"good/service-counter.toml")
	assert.Equal(t, code, exitSuccess, out)
	code, _, _ = runTool("check", testdata+"good/full.toml")
	assert.Equal(t, code, exitSuccess)
}

// Guards against generated key files that the daemon cannot load.
func TestKeys(t *testing.T) {
	dir := t.TempDir()
	for _, args := range [][]string{{"keys", "ca", "--dir", dir}, {"keys", "instance", "--dir", dir, "a1", "a2"}, {"keys", "admission", "--dir", dir, "--id", "7"}} {
		code, _, errOut := runTool(args...)
		assert.Equal(t, code, exitSuccess, errOut)
	}
	files, err := filepath.Glob(filepath.Join(dir, "*"))
	assert.NilError(t, err)
	assert.Equal(t, len(files), 7)
	code, _, errOut := runTool("keys", "admission", "--dir", dir, "--id", "7")
	assert.Assert(t, code == exitFailed && strings.Contains(errOut, "file exists"), errOut)
	file := filepath.Join(dir, "a1.toml")
	text := `instance={id="a1",data_centre="a"}
service.listen_ip="127.0.0.1"
peer.listen="127.0.0.1:0"
admin.listen="127.0.0.1:0"
platform.url="http://127.0.0.1:1"
tls={ca="ca.crt",certificate="a1.crt",key="a1.key"}
admission={signing_key=7,key=[{id=7,file="admission-7.key"}]}`
	assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
	s, err := settings.Load(file)
	assert.NilError(t, err)
	_, err = daemon.New(s, &bytes.Buffer{}, &bytes.Buffer{})
	assert.NilError(t, err)
}

// Guards against output that omits parts of an instance's state.
func TestShow(t *testing.T) {
	state := daemon.State{
		Snapshot: core.Snapshot{Instance: "a1", DataCentre: "a", Lifecycle: "serving", Revision: 9,
			Members:  []peerwire.Member{{ID: "a2", Lifecycle: peerwire.Draining, PeerAddr: "127.0.0.1:9", Suspected: true}},
			Services: []core.ServiceState{{Service: "counter", Owned: 6, Free: 4, RunTimeMicros: 1500}}},
		Details: []core.ServiceDetail{{Service: "counter", Profile: "gold",
			Targets:  []spread.TargetState{{Target: "t1", Lifecycle: "active", Suspicion: "trusted", Owned: 2}},
			Partners: []core.PartnerState{{Partner: "north", Weight: 3, Share: 0.75}}}},
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(state) }))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	code, out, errOut := runTool("show", address)
	assert.Equal(t, code, exitSuccess, errOut)
	for _, want := range []string{"a1", "revision 9", "a2", "draining", "true", "1.5ms", "t1", "trusted", "north", "75.0%"} {
		assert.Assert(t, strings.Contains(out, want), "%s missing in\n%s", want, out)
	}
	_, out, _ = runTool("show", "--json", address)
	var got []daemon.State
	assert.NilError(t, json.Unmarshal([]byte(out), &got))
	assert.DeepEqual(t, got, []daemon.State{state})
}

// Guards against a comparison that differs from weighted max-min fairness: the
// share that a partner does not use goes to the others in proportion to their
// weights.
func TestCompare(t *testing.T) {
	profile := func(north, south uint32) config.Profile {
		return config.Profile{Partners: []config.Partner{{Name: "north", Weight: north}, {Name: "south", Weight: south}}}
	}
	rows := compareAllocations(profile(3, 1), profile(1, 1), map[ids.Partner]float64{"north": 30, "south": 6}, 20)
	assert.DeepEqual(t, rows, []allocation{
		{Partner: "north", PresentWeight: 3, NewWeight: 1, Demand: 30, Present: 15, New: 14, Change: -1},
		{Partner: "south", PresentWeight: 1, NewWeight: 1, Demand: 6, Present: 5, New: 6, Change: 1},
	})
}
