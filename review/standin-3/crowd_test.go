package standin_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// crowd has many clients that nobody controls send large bodies of legal size at once, each of which stops one byte short of its end and
// stays open, and comes back when it is turned away. The check is the memory of the router with what it has received and not yet read.
func crowd(s *site) bool {
	const (
		clients  = 2000
		bodySize = 4_000_000
		deadline = 4 * time.Second
		length   = 15 * time.Second
	)
	s.memory = 134
	s.configure()
	for range 3 {
		s.addRunner("desk", func(u *runner, w io.Writer, r *http.Request) (string, bool) {
			time.Sleep(30 * time.Millisecond)
			body := "done " + r.Header.Get("Request-Id")
			_, err := io.WriteString(w, head(u, r, "200 OK", signature(r))+"Content-Length: "+itoa(len(body))+"\r\n\r\n"+body)
			return "200", err == nil
		})
	}
	s.startRouters(1)
	r := s.routers[0]
	pid := r.cmd.Process.Pid
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	if s.trouble {
		s.note("%d clients send bodies of %d bytes, all but the last", clients, bodySize)
		for range clients {
			wg.Go(func() {
				for time.Now().Before(end) {
					stopShort(r.front, bodySize, end)
				}
			})
		}
	}
	served, others := 0, 0
	wg.Go(func() {
		for time.Now().Before(end) {
			if got := send(r, "/slip/7", newID(), deadline, nil); got.status == http.StatusOK && got.complete {
				served++
			} else {
				others++
				s.note("an ordinary call was answered %s", got)
			}
			time.Sleep(100 * time.Millisecond)
		}
	})
	most := 0
	for time.Now().Before(end) {
		own, unread, conns := ownMemory(pid), 0, 0
		unread, conns = unreadBytes(r.front)
		if sum := own + unread; sum > most {
			most = sum
			s.note("%d MB of its own and %d MB that it has not read on %d connections, together %d MB", own>>20, unread>>20, conns, sum>>20)
		}
		select {
		case <-r.exited:
			s.note("%s has ended by itself", r.name)
			return true
		case <-time.After(50 * time.Millisecond):
		}
	}
	wg.Wait()
	s.note("%d ordinary calls were served, %d not", served, others)
	s.note("at most %d bytes, %.1f MB; the machine has %d MB", most, float64(most)/(1<<20), s.memory)
	return most > s.memory<<20
}

// bodyPart is a part of a body that stops short.
var bodyPart = make([]byte, 64<<10)

// stopShort sends a request with a body that lacks its last byte, and waits until the router ends the connection, or until a time.
func stopShort(addr string, size int, until time.Time) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(until)
	_, err = fmt.Fprintf(conn, "POST /slip/7 HTTP/1.1\r\nHost: mandi.example\r\nRequest-Id: %s\r\nAuthorization: Token k1\r\nDeadline-Ms: 4000\r\nContent-Length: %d\r\n\r\n",
		newID(), size)
	for left := size - 1; left > 0 && err == nil; {
		var n int
		n, err = conn.Write(bodyPart[:min(left, len(bodyPart))])
		left -= n
	}
	_, _ = io.Copy(io.Discard, conn)
}

// ownMemory returns the anonymous memory that a process has in use, in bytes.
func ownMemory(pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if kb := 0; strings.HasPrefix(line, "RssAnon:") {
			_, err := fmt.Sscanf(line, "RssAnon: %d kB", &kb)
			must(err)
			return kb << 10
		}
	}
	return 0
}

// unreadBytes returns the bytes that wait in the sockets of accepted connections to a listener, and the number of the connections. Those that
// are not accepted yet, or that no process has open any more, have no inode.
func unreadBytes(addr string) (unread, conns int) {
	host, port, err := net.SplitHostPort(addr)
	must(err)
	ip, number := net.ParseIP(host).To4(), 0
	number, err = strconv.Atoi(port)
	must(err)
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	f, err := os.Open("/proc/net/tcp")
	must(err)
	defer func() { _ = f.Close() }()
	const listening, inode = "0A", 9
	for lines := bufio.NewScanner(f); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		if len(fields) <= inode || fields[1] != local || fields[3] == listening || fields[inode] == "0" {
			continue
		}
		_, waiting, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(waiting, 16, 64)
		must(err)
		unread += int(n)
		conns++
	}
	return unread, conns
}
