package platform

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func call(t *testing.T, method, url, body string, into any) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	if into != nil {
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(into))
	}
}

// Guards against a watch that misses a publication or returns before one, and
// against a platform with a stale revision that serves newer documents.
func TestWatchAndStale(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, os.MkdirAll(filepath.Join(dir, "service"), 0o755))
	assert.NilError(t, os.WriteFile(filepath.Join(dir, "service", "x.toml"), []byte("a = 1"), 0o644))
	p, err := New(dir, 0)
	assert.NilError(t, err)
	s := httptest.NewServer(p)
	defer s.Close()

	var first Page
	call(t, "GET", s.URL+"/v1/documents?after=0", "", &first)
	assert.Equal(t, first.Upto, uint64(1))
	assert.Equal(t, first.Documents[0].Key, "service/x")

	done := make(chan Page)
	go func() {
		var page Page
		call(t, "GET", s.URL+"/v1/documents?after=1&wait=5", "", &page)
		done <- page
	}()
	select {
	case <-done:
		t.Fatal("watch returned before a publication")
	case <-time.After(50 * time.Millisecond):
	}
	call(t, "PUT", s.URL+"/v1/documents/service/x", "a = 2", nil)
	second := <-done
	assert.Equal(t, second.Upto, uint64(2))
	assert.Equal(t, *second.Documents[0].Value, "a = 2")

	call(t, "PUT", s.URL+"/control/fault", `{"stale":1}`, nil)
	var stale Page
	call(t, "GET", s.URL+"/v1/documents?after=0", "", &stale)
	assert.Equal(t, stale.Upto, uint64(1))
	assert.Equal(t, *stale.Documents[0].Value, "a = 1")

	call(t, "PUT", s.URL+"/control/fault", `{"down":true}`, nil)
	_, err = http.Get(s.URL + "/v1/documents")
	assert.Assert(t, err != nil, "a platform that is down must not respond")
}

// Guards against an instance list that shows a change before the lag has passed.
func TestInstanceListLag(t *testing.T) {
	l := newInstanceList(80 * time.Millisecond)
	l.set(Instance{ID: "a"}, true)
	assert.Equal(t, len(l.visibleInstances()), 0)
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(l.visibleInstances()), 1)
	assert.Assert(t, l.markLeaving("a"))
	assert.Assert(t, !l.visibleInstances()[0].Leaving)
	time.Sleep(100 * time.Millisecond)
	assert.Assert(t, l.visibleInstances()[0].Leaving)
}
