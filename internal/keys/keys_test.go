package keys

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against an existing CA, certificate or key being overwritten.
func TestExistingFilesAreKept(t *testing.T) {
	dir := t.TempDir()
	ca, err := CreateCA(dir, "fleet", time.Hour)
	assert.NilError(t, err)
	assert.NilError(t, ca.Issue(dir, "a1", time.Hour))
	assert.NilError(t, CreateAdmissionKey(dir, 1))
	_, err = CreateCA(dir, "fleet", time.Hour)
	assert.ErrorIs(t, err, os.ErrExist)
	assert.ErrorIs(t, ca.Issue(dir, "a1", time.Hour), os.ErrExist)
	assert.ErrorIs(t, CreateAdmissionKey(dir, 1), os.ErrExist)
}

// Guards against key files that other users can read, and against instance names
// that place files outside the directory.
func TestFileModeAndNames(t *testing.T) {
	dir := t.TempDir()
	ca, err := CreateCA(dir, "fleet", time.Hour)
	assert.NilError(t, err)
	assert.Assert(t, ca.Issue(dir, "../x", time.Hour) != nil)
	assert.Assert(t, ca.Issue(dir, "", time.Hour) != nil)
	info, err := os.Stat(filepath.Join(dir, "ca.key"))
	assert.NilError(t, err)
	assert.Equal(t, info.Mode().Perm(), os.FileMode(0o600))
}

// Guards against admission keys being accepted that are too short, too long or
// not hexadecimal.
func TestLoadAdmissionKey(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, CreateAdmissionKey(dir, 7))
	key, err := LoadAdmissionKey(filepath.Join(dir, "admission-7.key"))
	assert.NilError(t, err)
	assert.Equal(t, len(key), AdmissionKeyBytes)
	badFile := filepath.Join(dir, "bad")
	for _, text := range []string{"", "00", "zz", string(make([]byte, maxKeyFileBytes+1))} {
		assert.NilError(t, os.WriteFile(badFile, []byte(text), 0o600))
		_, err := LoadAdmissionKey(badFile)
		assert.Assert(t, err != nil, "%q", text)
	}
}
