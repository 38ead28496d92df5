// Package scripts holds the tests of the scripts in this folder.
package scripts

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// runTests runs test.sh with a list of known failures in a module with two packages:
// a has TestGood, TestBad and TestParts/good and /bad, b has TestGood and, if failing is
// set, TestBad.
func runTests(t *testing.T, list string, failing bool) (output string, ok bool) {
	t.Helper()
	script, err := filepath.Abs("test.sh")
	assert.NilError(t, err)
	dir := t.TempDir()
	head := "package p\n\nimport \"testing\"\n\nfunc TestGood(t *testing.T) {}\n"
	bad := "func TestBad(t *testing.T) { t.Error(\"bad\") }\n"
	files := map[string]string{
		"go.mod": "module example.com/m\n\ngo 1.26\n",
		"list":   list,
		"a/a_test.go": head + bad +
			"func TestParts(t *testing.T) { t.Run(\"good\", TestGood); t.Run(\"bad\", TestBad) }\n",
		"b/b_test.go": head,
	}
	if failing {
		files["b/b_test.go"] += bad
	}
	for name, text := range files {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	cmd := exec.Command(script, "list")
	cmd.Dir = dir
	data, err := cmd.CombinedOutput()
	return string(data), err == nil
}

const badTestsOfA = "# what is known to fail\n./a TestBad\n    go test ./a -run TestBad\n\n./a TestParts/bad\n"

// Guards against a CI run that fails because of a known failure.
func TestKnownFailuresArePassedOver(t *testing.T) {
	output, ok := runTests(t, badTestsOfA, false)
	assert.Assert(t, ok, output)
	for _, line := range []string{"known to fail: ./a TestBad: fails", "known to fail: ./a TestParts/bad: fails"} {
		assert.Assert(t, strings.Contains(output, line), output)
	}
}

// Guards against a CI run that passes although a test that is not listed fails: another
// one of the same package, or one of the same name in another package.
func TestOtherFailuresCount(t *testing.T) {
	for name, run := range map[string]struct {
		list    string
		failing bool
	}{
		"same package": {"./a TestBad\n", false},
		"same name":    {badTestsOfA, true},
		"empty list":   {"# none\n", false},
	} {
		output, ok := runTests(t, run.list, run.failing)
		assert.Assert(t, !ok, "%s: %s", name, output)
	}
}

// Guards against an entry that names no test and so passes over nothing, or hides that a
// test was renamed.
func TestEntryWithoutTest(t *testing.T) {
	for _, entry := range []string{"./a TestNone", "./a TestParts/none", "./b TestBad", "./c TestGood", "TestBad"} {
		output, ok := runTests(t, entry+"\n", false)
		assert.Assert(t, !ok, "%s: %s", entry, output)
		rejected := strings.Contains(output, "does not exist") || strings.Contains(output, "is not PACKAGE TEST")
		assert.Assert(t, rejected, "%s: %s", entry, output)
	}
}
