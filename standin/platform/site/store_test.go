package site

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a stand-in that keeps later writes or events after it was restored,
// leaves watches of the earlier era waiting, or does not say that its era changed.
func TestRestore(t *testing.T) {
	s := NewStore()
	srv := httptest.NewServer(s)
	defer srv.Close()
	get := func(path string) (status int, era, body string) {
		resp, err := http.Get(srv.URL + "/objects/" + path)
		require.NoError(t, err)
		defer func() { _ = resp.Body.Close() }()
		data, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, resp.Header.Get("Store-Era"), string(data)
	}
	s.Put("servers", "a", 1)
	earlier := s.Copy()
	s.Put("servers", "a", 2)
	s.Put("servers", "b", 1)
	_, era, _ := get("servers")
	require.Equal(t, "0", era)

	waiting, ended := make(chan struct{}), make(chan struct{})
	var once sync.Once
	s.SetFault(func(*http.Request) Fault {
		once.Do(func() { close(waiting) })
		return Fault{}
	})
	go func() {
		defer close(ended)
		if resp, err := http.Get(srv.URL + "/objects/servers?watch=103&waitMs=3600000"); err == nil {
			_ = resp.Body.Close()
		}
	}()
	<-waiting
	s.SetFault(nil)
	s.Restore(earlier)
	<-ended
	_, era, body := get("servers")
	require.Equal(t, "1", era)
	require.Contains(t, body, `"atRev":101`)
	require.JSONEq(t, "1", string(s.Get("servers", "a")))
	status, era, _ := get("servers?watch=102&waitMs=0")
	require.Equal(t, http.StatusGone, status)
	require.Equal(t, "1", era)
	status, _, _ = get("servers/b")
	require.Equal(t, http.StatusNotFound, status)

	s.Put("servers", "c", 1)
	_, _, body = get("servers?watch=101&waitMs=0")
	require.Equal(t, 1, strings.Count(body, "tombstone"))
	require.Contains(t, body, `"rev":102`)
	s.Restore(earlier)
	_, era, _ = get("servers")
	require.Equal(t, "2", era)
}
