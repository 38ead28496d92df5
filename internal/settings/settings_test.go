package settings

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against valid files that are refused and wrong defaults.
func TestGood(t *testing.T) {
	full, err := Load("testdata/good/full.toml")
	assert.NilError(t, err)
	assert.Equal(t, len(full.Seeds), 2)
	assert.Equal(t, full.TLS.CA, filepath.Join("testdata", "good", "ca.crt"))
	minimal, err := Load("testdata/good/minimal.toml")
	assert.NilError(t, err)
	assert.Equal(t, minimal.TLS.CA, "/keys/ca.crt")
	assert.Equal(t, minimal.PeerAdvertise, minimal.PeerListen)
	assert.Equal(t, minimal.PlatformURL, "http://127.0.0.1:7300")
	assert.Equal(t, minimal.Link.ControlBytesPerSecond, 2048)
	assert.Equal(t, minimal.Admission.MaxEntries, full.Admission.MaxEntries)
	assert.Equal(t, minimal.Admission.MaxBytes, full.Admission.MaxBytes)
	assert.Equal(t, minimal.Link.StartupBurstBytes, full.Link.StartupBurstBytes)
	assert.Equal(t, minimal.Linger, 3*time.Second)
	assert.DeepEqual(t, minimal.Rings, full.Rings)
}

// Guards against an example file that drifts from the parser.
func TestExample(t *testing.T) {
	_, err := Load("../../docs/examples/arbutusdockd.toml")
	assert.NilError(t, err)
}

// Guards against a fault that goes unreported or points at the wrong line.
func TestBad(t *testing.T) {
	files, err := filepath.Glob("testdata/bad/*.toml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		want, err := os.ReadFile(strings.TrimSuffix(file, "toml") + "want")
		assert.NilError(t, err)
		_, err = Load(file)
		var faults Faults
		assert.Assert(t, errors.As(err, &faults), "%s: %v", file, err)
		var got []string
		for _, f := range faults {
			got = append(got, f.Error())
		}
		lines := strings.Split(strings.TrimSpace(string(want)), "\n")
		assert.Equal(t, len(got), len(lines), "%s:\n%s", file, strings.Join(got, "\n"))
		for i := range lines {
			assert.Assert(t, strings.HasPrefix(got[i], strings.TrimSpace(lines[i])), "%s: %s", file, got[i])
		}
	}
}

// Checks that no input panics.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("testdata/good/full.toml")
	assert.NilError(f, err)
	f.Add(string(data))
	f.Fuzz(func(t *testing.T, data string) { _, _ = Parse([]byte(data)) })
}

// Guards against settings of a pass-through instance that are refused, wrong
// defaults, and a template of the users' platform that does not fit the parser.
func TestPassthrough(t *testing.T) {
	s, err := Load("../../docs/examples/passthrough.toml")
	assert.NilError(t, err)
	p := s.Passthrough
	assert.Equal(t, p.Advertise, p.Control)
	assert.Equal(t, p.Seeds, "10.1.0.10:8166,10.2.0.40:8166")
	assert.Equal(t, p.MemoryBytes, int64(414)<<20)
	assert.DeepEqual(t, p.Regions, map[string]string{"a": "south", "b": "south"})
	minimal, err := Parse([]byte("instance={id='a',data_centre='d'}\n[passthrough]\nlisten='127.0.0.1:1'\nready='127.0.0.1:2'\nplatform='127.0.0.1:3'\n"))
	assert.NilError(t, err)
	assert.Equal(t, minimal.Passthrough.ApplyWithin, p.ApplyWithin)
	assert.Equal(t, minimal.Passthrough.GracePeriod, p.GracePeriod)
	assert.Equal(t, minimal.Passthrough.FlowLifetime, p.FlowLifetime)
	assert.Assert(t, !minimal.Passthrough.Control.IsValid() && !minimal.Passthrough.Metrics.IsValid())

	template, err := os.ReadFile("../../deploy/settings.toml")
	assert.NilError(t, err)
	text := strings.Replace(string(template), `{{@}} = {{.|json}}`, `a = "south"`, 1)
	text = regexp.MustCompile(`\{\{[#/][^}]*\}\}`).ReplaceAllString(text, "")
	text = strings.NewReplacer(`{{node|json}}`, `"edge-1"`, `{{zone|json}}`, `"a"`, `{{ip}}`, "10.1.0.10", `{{.|json}}`, `"10.1.0.10:8166"`, `{{,}}`, "",
		`{{limits.memory-mb}}`, "414").Replace(text)
	text = regexp.MustCompile(`\{\{[a-z.-]*\|json\}\}`).ReplaceAllString(text, `"10.1.0.10:81"`)
	text = regexp.MustCompile(`\{\{[a-z.-]*-ms\}\}`).ReplaceAllString(text, "3000")
	text = regexp.MustCompile(`\{\{[a-z.-]*-s\}\}`).ReplaceAllString(text, "6")
	_, err = Parse([]byte(text))
	assert.NilError(t, err, "%s", text)
}
