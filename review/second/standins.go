//go:build review

package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// arrival is a request that has arrived at a server.
type arrival struct {
	atMs                    float64
	server, command, key    string
	id, extra, value, place string // place: address of the connection's other end
}

// fieldOf returns a value of a list of names and values.
func fieldOf(extra, name string) string {
	for _, part := range strings.Split(extra, ",") {
		if k, v, _ := strings.Cut(part, "="); k == name {
			return v
		}
	}
	return ""
}

// box is a cache server. It holds every key, and answers each read with a value made for it.
type box struct {
	w        *world
	id, addr string
	delay    time.Duration
	// answer, if set, is asked for the reply to a request first; "" means the usual reply.
	answer func(arrival) string

	mu       sync.Mutex
	arrivals []arrival
}

func (w *world) newBox(id string) *box {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRunIf(err)
	b := &box{w: w, id: id, addr: ln.Addr().String(), delay: 3 * time.Millisecond}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
	return b
}

// entry returns the box as the list has it.
func (b *box) entry(phase string) object {
	return object{"id": b.id, "host_port": b.addr, "locality": "a", "flavor": "box", "cell": 0, "phase": phase, "size": 1.0, "up_since_ms": 0}
}

func (b *box) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		args, err := readCommand(in)
		if err != nil {
			return
		}
		reply := ""
		switch command := strings.ToUpper(args[0]); {
		case command == "PING":
			reply = "+PONG\r\n"
		case command == "INFO":
			reply = bulk("util=0.2,queue=0,x0=0.9")
		case command == "KV.GET" && len(args) == 4, command == "KV.SET" && len(args) == 5:
			a := arrival{b.w.since(), b.id, command, args[1], args[2], args[3], "", c.RemoteAddr().String()}
			b.mu.Lock()
			b.arrivals = append(b.arrivals, a)
			b.mu.Unlock()
			b.w.logf("%s got %s %s %s %s", b.id, command, a.key, a.id, a.extra)
			if b.answer != nil {
				reply = b.answer(a)
			}
			if reply == "" {
				time.Sleep(b.delay)
				reply = "*3\r\n" + bulk(b.id+"|"+a.key+"|"+a.id) + bulk("hit") + bulk("util=0.2,queue=0,x0=0.9")
			}
		default:
			reply = "-ERR unknown\r\n"
		}
		if _, err := io.WriteString(c, reply); err != nil {
			return
		}
	}
}

// after returns the requests that arrived after a time.
func (b *box) after(ms float64) (late []arrival) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.arrivals {
		if a.atMs > ms {
			late = append(late, a)
		}
	}
	return late
}

func bulk(s string) string { return fmt.Sprintf("$%d\r\n%s\r\n", len(s), s) }

var errProtocol = errors.New("not RESP2")

func readLine(in *bufio.Reader) (string, error) {
	line, err := in.ReadString('\n')
	return strings.TrimRight(line, "\r\n"), err
}

func readCommand(in *bufio.Reader) ([]string, error) {
	line, err := readLine(in)
	if err != nil {
		return nil, err
	}
	count, err := strconv.Atoi(strings.TrimPrefix(line, "*"))
	if err != nil || count < 1 || line[0] != '*' {
		return nil, errProtocol
	}
	args := make([]string, count)
	for i := range args {
		if line, err = readLine(in); err != nil {
			return nil, err
		}
		size, err := strconv.Atoi(strings.TrimPrefix(line, "$"))
		if err != nil {
			return nil, errProtocol
		}
		b := make([]byte, size+2)
		if _, err := io.ReadFull(in, b); err != nil {
			return nil, err
		}
		args[i] = string(b[:size])
	}
	return args, nil
}

// origin is the origin. It carries out each write once for each request that arrives, unless it has carried out one with the same
// idempotency key within its span.
type origin struct {
	w     *world
	addr  string
	delay time.Duration
	span  time.Duration // 0: repeats are not dropped
	// handle, if set, is asked first; true: it has answered.
	handle func(http.ResponseWriter, arrival) bool

	mu       sync.Mutex
	arrivals []arrival
	stopped  time.Time            // nothing is read or answered before
	effects  map[string][]float64 // times of the effects, by idempotency key or, without one, by id
}

func (w *world) newOrigin() *origin {
	// A small receive buffer of its own: how much fits into the socket of an origin that does not read depends less on the machine.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) (err error) {
		if controlErr := c.Control(func(fd uintptr) {
			err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	ln, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	cannotRunIf(err)
	o := &origin{w: w, addr: ln.Addr().String(), delay: 5 * time.Millisecond, effects: map[string][]float64{}}
	go func() { _ = http.Serve(ln, o) }()
	return o
}

func (o *origin) entry() object {
	return object{"id": "origin-1", "host_port": o.addr, "locality": "a", "flavor": "origin", "cell": 0, "phase": "in_service", "size": 1.0, "up_since_ms": 0}
}

func (o *origin) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/ping" || r.URL.Path == "/_load" {
		return
	}
	body, err := o.readBody(r.Body)
	if err != nil {
		o.w.logf("origin: %s %s broke off after %d bytes: %v", r.Method, r.Header.Get("Req-Id"), len(body), err)
		return
	}
	a := arrival{
		o.w.since(), "origin", r.Method, strings.TrimPrefix(r.URL.Path, "/"), r.Header.Get("Req-Id"), r.Header.Get("Req-Extra"),
		string(body), r.RemoteAddr,
	}
	o.mu.Lock()
	o.arrivals = append(o.arrivals, a)
	o.mu.Unlock()
	o.w.logf("origin got %s %s %s %s", r.Method, a.key, a.id, a.extra)
	time.Sleep(o.delay)
	if r.Method == http.MethodPut {
		o.carryOut(a)
	}
	if o.handle != nil && o.handle(rw, a) {
		return
	}
	_, _ = io.WriteString(rw, "origin|"+a.key+"|"+a.id)
}

// readBody reads a value, except while the origin is stopped.
func (o *origin) readBody(from io.Reader) (body []byte, err error) {
	for piece := make([]byte, 32<<10); ; {
		o.mu.Lock()
		stopped := o.stopped
		o.mu.Unlock()
		time.Sleep(time.Until(stopped))
		n, err := from.Read(piece)
		body = append(body, piece[:n]...)
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return body, err
		}
	}
}

// stopFor makes the origin stop: its connections stay open, and it reads and answers nothing for a time.
func (o *origin) stopFor(d time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stopped = time.Now().Add(d)
	o.w.logf("origin stops for %v", d)
}

// carryOut carries out a write unless it is a repeat.
func (o *origin) carryOut(a arrival) {
	o.mu.Lock()
	defer o.mu.Unlock()
	mark := fieldOf(a.extra, "k")
	if mark == "" {
		mark = a.id
	}
	now, times := o.w.since(), o.effects[mark]
	if len(times) > 0 && o.span > 0 && now-times[len(times)-1] < float64(o.span/time.Millisecond) {
		o.w.logf("origin drops a repeat of %s", mark)
		return
	}
	o.effects[mark] = append(times, now)
	o.w.logf("origin carries out %s, time %d", mark, len(times)+1)
}

// discovery is the discovery service.
type discovery struct {
	w    *world
	addr string

	mu       sync.Mutex
	revision int
	oldest   int // a watch from an earlier revision gets the whole list
	members  []object
	changes  []change
	notify   chan struct{} // closed at each change
	told     []toldList
}

type change struct {
	revision int
	entry    object
}

// toldList is what was written to a node.
type toldList struct {
	atMs float64
	text string
}

func (w *world) newDiscovery(revision int, members ...object) *discovery {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	cannotRunIf(err)
	d := &discovery{w: w, addr: ln.Addr().String(), revision: revision, oldest: revision, members: members, notify: make(chan struct{})}
	go func() { _ = http.Serve(ln, d) }()
	return d
}

// list returns a list in the form of discovery.
func list(revision int, members ...object) object {
	return object{"revision": revision, "complete": true, "members": members}
}

// list returns the whole list.
func (d *discovery) list() object {
	d.mu.Lock()
	defer d.mu.Unlock()
	return list(d.revision, d.members...)
}

// set changes an entry. With the phase terminated it leaves the list.
func (d *discovery) set(entry object) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	kept := []object{}
	replaced := false
	for _, m := range d.members {
		if m["id"] != entry["id"] {
			kept = append(kept, m)
		} else if replaced = true; entry["phase"] != "terminated" {
			kept = append(kept, entry)
		}
	}
	if !replaced && entry["phase"] != "terminated" {
		kept = append(kept, entry)
	}
	d.members, d.changes = kept, append(d.changes, change{d.revision, entry})
	close(d.notify)
	d.notify = make(chan struct{})
	d.w.logf("discovery: revision %d, %v is %v", d.revision, entry["id"], entry["phase"])
}

// next returns what a watch that has got a revision is sent next; nil: nothing has changed.
func (d *discovery) next(from int) (text []byte, revision int, notify chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if from >= d.revision {
		return nil, d.revision, d.notify
	}
	message := list(d.revision, d.members...)
	if from >= d.oldest {
		var entries []object
		for _, c := range d.changes {
			if c.revision > from {
				entries = append(entries, c.entry)
			}
		}
		message = object{"revision": d.revision, "complete": false, "members": entries}
	}
	text, err := json.Marshal(message)
	cannotRunIf(err)
	return text, d.revision, d.notify
}

func (d *discovery) write(rw http.ResponseWriter, text []byte) bool {
	if len(text) > 0 {
		d.w.logf("discovery tells %s", text)
	}
	_, err := rw.Write(append(text, '\n'))
	rw.(http.Flusher).Flush()
	if err == nil && len(text) > 0 {
		d.mu.Lock()
		d.told = append(d.told, toldList{d.w.since(), string(text)})
		d.mu.Unlock()
	}
	return err == nil
}

func (d *discovery) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/catalog/members" {
		http.NotFound(rw, r)
		return
	}
	if r.URL.Query().Get("watch") == "" {
		d.mu.Lock()
		text, err := json.Marshal(list(d.revision, d.members...))
		d.mu.Unlock()
		cannotRunIf(err)
		d.write(rw, text)
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	d.w.logf("discovery: watch from %d", from)
	for {
		text, revision, notify := d.next(from)
		if !d.write(rw, text) {
			return
		}
		from = revision
		select {
		case <-notify:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// firstTold returns when a message that satisfies a condition was first written to a node, in ms; 0: never.
func (d *discovery) firstTold(condition func(text string) bool) float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, t := range d.told {
		if condition(t.text) {
			return t.atMs
		}
	}
	return 0
}

// client is a connection of a client.
type client struct {
	net net.Conn
	in  *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReader(c)}, nil
}

func (c *client) close() { _ = c.net.Close() }

// encode returns a command in RESP2.
func encode(args ...string) string {
	text := fmt.Sprintf("*%d\r\n", len(args))
	for _, arg := range args {
		text += bulk(arg)
	}
	return text
}

// call sends a command and returns its reply: a line, or the value of a bulk string after "$".
func (c *client) call(timeout time.Duration, args ...string) (string, error) {
	_ = c.net.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c.net, encode(args...)); err != nil {
		return "", err
	}
	return c.read()
}

func (c *client) read() (string, error) {
	line, err := readLine(c.in)
	if err != nil || line == "" || line[0] != '$' || line == "$-1" {
		return line, err
	}
	size, err := strconv.Atoi(line[1:])
	if err != nil {
		return "", errProtocol
	}
	b := make([]byte, size+2)
	if _, err := io.ReadFull(c.in, b); err != nil {
		return "", err
	}
	return "$" + string(b[:size]), nil
}

// readLoad sends reads of many keys to an address at a steady rate, one connection for each worker, until stopped.
type readLoad struct {
	stop chan struct{}
	done sync.WaitGroup

	mu     sync.Mutex
	served int
	others map[string]int // replies that are no value, by their first word
}

func (w *world) startReads(addr, class string, workers int, pause time.Duration) *readLoad {
	l := &readLoad{stop: make(chan struct{}), others: map[string]int{}}
	for worker := range workers {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			var c *client
			for i := 0; ; i++ {
				select {
				case <-l.stop:
					return
				case <-time.After(pause):
				}
				var err error
				if c == nil {
					if c, err = dialClient(addr); err != nil {
						continue
					}
				}
				key := fmt.Sprintf("%08x%08x", uint32(worker*1000003+i*2654435761), uint32(i*40503+worker))
				id := fmt.Sprintf("%08x%08x", worker, i)
				reply, err := c.call(3*time.Second, "KV.GET", key, id, "c="+class+",t=t1,d=1000")
				w.logf("client %d: %s %s answered %.60q, %v", worker, key, id, reply, err)
				l.count(reply, err)
				if err != nil {
					c.close()
					c = nil
				}
			}
		}()
	}
	return l
}

func (l *readLoad) count(reply string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err == nil && strings.HasPrefix(reply, "$") {
		l.served++
		return
	}
	word, _, _ := strings.Cut(reply, " ")
	if err != nil {
		word = "no answer"
	}
	l.others[word]++
}

func (l *readLoad) end() {
	close(l.stop)
	l.done.Wait()
}
