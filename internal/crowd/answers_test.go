package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitlock.example/godwitlock/internal/knownred"
)

// startEndlessServer starts a server that answers each request, also those for its health,
// with start and then repeat until its connection is closed. ID in start stands for the id
// of the request. It counts the answers and returns its address. It ends when stop is
// closed.
func startEndlessServer(t *testing.T, start, repeat string, answers *atomic.Int64, stop chan struct{}) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { <-stop; _ = lis.Close() }()
	repeat = strings.Repeat(repeat, 1+(16<<10)/len(repeat))
	go func() {
		for {
			nc, err := lis.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				ended := make(chan struct{})
				defer close(ended)
				go func() {
					select {
					case <-stop:
						_ = nc.Close()
					case <-ended:
					}
				}()
				r, err := http.ReadRequest(bufio.NewReader(nc))
				if err != nil {
					return
				}
				answers.Add(1)
				_, err = io.WriteString(nc, strings.ReplaceAll(start, "ID", r.Header.Get("Request-Id")))
				for err == nil {
					_, err = io.WriteString(nc, repeat)
				}
			}()
		}
	}()
	return lis.Addr().String()
}

// checkAnswers replaces the servers by ones that answer without end, runs a crowd that
// sends requests, and then puts the servers back.
func checkAnswers(t *testing.T, start, repeat string) {
	t.Helper()
	knownred.Skip(t)
	v := startVM(t)
	var answers atomic.Int64
	stop := make(chan struct{})
	for i := range 2 {
		entry := v.servers[i].StoreEntry()
		entry["addr"], entry["slots"] = startEndlessServer(t, start, repeat, &answers, stop), 400
		v.store.Put("servers", fmt.Sprint("faulty-", i), entry)
	}
	for _, s := range v.servers {
		v.store.Delete("servers", s.ID)
	}
	v.crowd(v.front, writeAndNeverRead([]byte(strings.Repeat(head("GET", "/read/x")+"\r\n", 16))))
	close(stop)
	for i := range 2 {
		v.store.Delete("servers", fmt.Sprint("faulty-", i))
	}
	for _, s := range v.servers {
		v.store.Put("servers", s.ID, s.StoreEntry())
	}
	t.Logf("%d answers without end", answers.Load())
	require.Greater(t, answers.Load(), int64(1))
	v.awaitAnswer()
}

const answerHead = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: s\r\n"

// Guards against bytes of a server that are no answer and that are kept until they end.
func TestAnswersThatAreNoAnswer(t *testing.T) { checkAnswers(t, "", "no answer ") }

// Guards against a head without an end.
func TestAnswersWithoutEndOfTheHead(t *testing.T) { checkAnswers(t, answerHead, "X: a\r\n") }

// Guards against informational answers without end.
func TestInformationalAnswersWithoutEnd(t *testing.T) {
	checkAnswers(t, "", "HTTP/1.1 102 Processing\r\n\r\n")
}

// Guards against junk in place of the framing of chunks.
func TestAnswersWithJunkInPlaceOfChunks(t *testing.T) {
	checkAnswers(t, answerHead+"Transfer-Encoding: chunked\r\n\r\n1;", "junk")
}

// Guards against bodies without end for callers that do not read.
func TestBodiesWithoutEndNeverRead(t *testing.T) { checkAnswers(t, answerHead+"\r\n", "body") }

// Guards against the same where the body has a length.
func TestLongestBodiesNeverRead(t *testing.T) {
	checkAnswers(t, answerHead+"Content-Length: 9000000000000000000\r\n\r\n", "body")
}
