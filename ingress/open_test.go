package ingress

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a stop that cuts connections without telling which requests were
// outstanding on them, how far they were, or that a request was read in part.
func TestOpenConnectionsAreDescribed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		release := make(chan struct{})
		s := NewServer(testHeaders, func(_ context.Context, r *Request) *Response {
			server := "s1"
			r.Progress.SetStage(WaitingForSlot)
			if r.ID == "r2" {
				r.Progress.SetSent(&server, time.Now())
			}
			<-release
			return textResponse(200, "")
		}, func() Limits { return Limits{} })
		client, server := net.Pipe()
		c := newConn(s, server)
		s.conns[c] = struct{}{}
		go c.serve()
		synctest.Wait()
		time.Sleep(time.Second)
		require.Equal(t, []OpenConnection{{Caller: "pipe", SinceWrite: time.Second}}, s.Open())
		send(t, client, twoRequests+"GET /3")
		synctest.Wait()
		time.Sleep(time.Second)
		open := s.Open()
		require.Len(t, open, 1)
		require.Equal(t, int64(len("GET /3")), open[0].UnreadBytes)
		require.Len(t, open[0].Outstanding, 2)
		for i, d := range open[0].Outstanding {
			require.Equal(t, i, d.Ahead)
			require.Equal(t, ProcessEnded, d.Cause)
			require.Equal(t, time.Second, d.Age())
		}
		first, second := open[0].Outstanding[0].Request, open[0].Outstanding[1].Request
		require.Equal(t, "r1", first.ID)
		require.Equal(t, "waiting_for_slot", first.Progress.Stage().String())
		require.Equal(t, "r2", second.ID)
		require.Equal(t, "sent", second.Progress.Stage().String())
		name, took := second.Progress.Attempt()
		require.Equal(t, "s1", name)
		require.Equal(t, time.Second, took)
		require.NoError(t, client.Close())
		close(release)
	})
}

// Guards against requests that are counted as outstanding after their answer.
func TestAnsweredRequestsAreNotOutstanding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(testHeaders, echo, func() Limits { return Limits{} })
		client, server := net.Pipe()
		c := newConn(s, server)
		go c.serve()
		br := bufio.NewReader(client)
		for range 3 * maxOutstanding {
			send(t, client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			receive(t, br)
			synctest.Wait()
			require.Empty(t, c.describe().Outstanding)
			require.Zero(t, c.unreadBytes())
		}
		require.NoError(t, client.Close())
	})
}

// halfCloser is a connection whose write side can be closed.
type halfCloser struct{ net.Conn }

func (halfCloser) CloseWrite() error { return nil }

// Guards against a request that arrives after the last response of its
// connection and is discarded without a trace.
func TestUnreadRequestIsReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewServer(testHeaders, echo, func() Limits { return Limits{} })
		var got []Unread
		s.OnUnread = func(u Unread) { got = append(got, u) }
		s.Drain()
		client, server := net.Pipe()
		c := newConn(s, halfCloser{server})
		done := make(chan struct{})
		go func() { c.serve(); close(done) }()
		send(t, client, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n")
		receive(t, bufio.NewReader(client))
		synctest.Wait()
		time.Sleep(lingerTimeout / 2)
		late := "POST /2 HTTP/1.1\r\nHost: h\r\nRequest-Id: r2\r\nContent-Length: 4\r\n\r\nbody"
		send(t, client, late+"GET /3")
		<-done
		require.Equal(t, []Unread{{
			Caller: "pipe", Bytes: int64(len(late + "GET /3")), RequestIDs: []string{"r2"}, Cause: ClosedByStop, Draining: true,
			SinceWrite: lingerTimeout,
		}}, got)
	})
}

// Guards against reports of the body of a request that was refused or streamed.
func TestBodyIsNotReportedAsUnread(t *testing.T) {
	for name, length := range map[string]string{"refused": "9999999999", "streamed": "100000"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := NewServer(testHeaders, echo, func() Limits { return Limits{} })
				s.OnUnread = func(u Unread) { t.Errorf("reported %d bytes as unread", u.Bytes) }
				client, server := net.Pipe()
				c := newConn(s, server)
				done := make(chan struct{})
				go func() { c.serve(); close(done) }()
				send(t, client, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: "+length+"\r\n\r\n"+strings.Repeat("x", 10))
				resp, err := http.ReadResponse(bufio.NewReader(client), nil)
				require.NoError(t, err)
				require.True(t, resp.Close)
				<-done
			})
		})
	}
}

// Guards against an unsuccessful write whose cause the handler does not learn.
func TestOnWrittenReceivesTheCause(t *testing.T) {
	written := make(chan error, 1)
	_, nc := startServer(t, Limits{}, func(context.Context, *Request) *Response {
		return &Response{Status: 200, Stream: &brokenBody{}, Length: -1, OnWritten: func(err error) { written <- err }}
	})
	send(t, nc, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	var end *ConnectionEnd
	require.True(t, errors.As(<-written, &end))
	require.Equal(t, SourceFailed, end.Cause)
}
