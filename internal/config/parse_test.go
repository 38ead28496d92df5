package config

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// parseFile parses a file in testdata as the kind of document that the prefix of
// its name gives.
func parseFile(t *testing.T, path string) (any, error) {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	kind, name, _ := strings.Cut(strings.TrimSuffix(filepath.Base(path), ".toml"), "-")
	if kind == "profile" {
		return ParseProfile(name, data)
	}
	return ParseService(name, data)
}

func files(t *testing.T, pattern string) []string {
	list, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	assert.Assert(t, len(list) > 0)
	return list
}

// Guards against valid documents that are refused and against changed defaults.
func TestGoodDocuments(t *testing.T) {
	for _, path := range files(t, "testdata/good/*.toml") {
		_, err := parseFile(t, path)
		assert.NilError(t, err, path)
	}
	p, err := parseFile(t, "testdata/good/profile-empty.toml")
	assert.NilError(t, err)
	assert.DeepEqual(t, p.(Profile).Protect.Idempotent, []string{"GET", "FETCH"})
	assert.Equal(t, p.(Profile).Spread.LongShare, 0.6)
	s, err := parseFile(t, "testdata/good/service-counter.toml")
	assert.NilError(t, err)
	assert.Equal(t, s.(Service).Targets[0].Slots, 2)
	assert.Equal(t, s.(Service).Targets[1].Address.String(), "[fd00::6]:5683")
}

// Guards against faults that are not reported, or reported without line, key or
// allowed range. Run with -update to write the golden files.
func TestBadDocuments(t *testing.T) {
	for _, path := range files(t, "testdata/bad/*.toml") {
		_, err := parseFile(t, path)
		assert.Assert(t, err != nil, path)
		golden.Assert(t, err.Error()+"\n", "bad/"+strings.TrimSuffix(filepath.Base(path), ".toml")+".golden")
	}
}

func fuzz(f *testing.F, prefix string, parse func([]byte) error) {
	for _, dir := range []string{"good", "bad"} {
		list, _ := filepath.Glob("testdata/" + dir + "/" + prefix + "*.toml")
		for _, path := range list {
			data, err := os.ReadFile(path)
			assert.NilError(f, err)
			f.Add(data)
		}
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		err, secondErr := parse(data), parse(data)
		if err == nil {
			assert.NilError(t, secondErr)
			return
		}
		var d *DocumentError
		assert.Assert(t, errors.As(err, &d) && len(d.Faults) > 0)
		assert.Equal(t, err.Error(), secondErr.Error())
	})
}

// FuzzParseProfile guards against a document that crashes the process, or for
// which repeated parsing gives different results.
func FuzzParseProfile(f *testing.F) {
	fuzz(f, "profile", func(b []byte) error { _, err := ParseProfile("x", b); return err })
}

// FuzzParseService guards against the same faults for service documents.
func FuzzParseService(f *testing.F) {
	fuzz(f, "service", func(b []byte) error { _, err := ParseService("x", b); return err })
}
