// Package clientfaults runs one node with fake servers and misbehaving clients beside ordinary ones, and measures what the ordinary clients get.
package clientfaults

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"slices"
	"time"
)

// Flood is a number of clients that each send commands on one connection as fast as they can, or a crowd of clients that are slow or leave. The
// last three fields are for the former.
type Flood struct {
	Addr     string
	Kind     string // one of Kinds
	Clients  int
	Batch    int  // commands in one write
	Unread   bool // the clients do not read their replies
	NewConns bool // each batch is sent on a new connection
}

// floodCommands returns the words of the command with a number, by the kind of flood. Commands that are numbered never repeat.
var floodCommands = map[string]func(n string) []string{
	"ping":            func(string) []string { return []string{"PING"} },
	"ping-value":      func(n string) []string { return []string{"PING", n} },
	"unknown-command": func(n string) []string { return []string{"CMD" + n} },
	"no-id":           func(n string) []string { return []string{"KV.GET", "key" + n, "c=read,t=all,d=500"} },
	"new-class":       func(n string) []string { return []string{"KV.GET", "key" + n, n, "c=class" + n + ",t=all,d=500"} },
	"no-class":        func(n string) []string { return []string{"KV.GET", "key" + n, n, "t=all,d=500"} },
	"bad-deadline":    func(n string) []string { return []string{"KV.GET", "key" + n, n, "c=read,t=all,d=soon"} },
	"no-key":          func(n string) []string { return []string{"KV.SET", "key" + n, n, "c=write,t=all,d=500", "value"} },
	"same-id":         func(n string) []string { return []string{"KV.GET", "key" + n, "id", "c=read,t=all,d=500"} },
	"new-option":      func(n string) []string { return []string{"KV.GET", "key-1", n, "c=read,t=all,d=500,o" + n + "=1"} },
	"new-tenant":      func(n string) []string { return []string{"KV.GET", "key-1", n, "c=read,t=tenant" + n + ",d=500"} },
	"new-key":         func(n string) []string { return []string{"KV.GET", "key" + n, n, "c=read,t=all,d=500"} },
}

// Kinds returns the kinds of floods and then those of crowds, each sorted.
func Kinds() []string {
	return append(slices.Sorted(maps.Keys(floodCommands)), slices.Sorted(maps.Keys(crowdClients))...)
}

// Start starts the clients, which send until the context ends.
func (f *Flood) Start(ctx context.Context) error {
	if use, known := crowdClients[f.Kind]; known {
		for i := range f.Clients {
			go crowdClient(ctx, f.Addr, i, use)
		}
		return nil
	}
	words, known := floodCommands[f.Kind]
	if !known {
		return fmt.Errorf("no kind of flood is called %q", f.Kind)
	}
	for i := range f.Clients {
		client := floodClient{flood: f, words: words, prefix: fmt.Sprintf("f%d-", i)}
		go client.run(ctx)
	}
	return nil
}

// reconnectPause is the pause of a client whose connection was refused or closed.
const reconnectPause = 5 * time.Millisecond

// floodClient is one client of a flood. It is used by one goroutine only.
type floodClient struct {
	flood  *Flood
	words  func(n string) []string
	prefix string
	sent   int
}

func (c *floodClient) run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := c.useConn(ctx); err != nil && !c.flood.NewConns {
			time.Sleep(reconnectPause)
		}
	}
}

// useConn sends batches on one connection until it breaks or the context ends.
func (c *floodClient) useConn(ctx context.Context) error {
	conn, err := net.Dial("tcp4", c.flood.Addr)
	if err != nil {
		return err
	}
	defer closeConn(conn)
	stop := context.AfterFunc(ctx, func() { closeConn(conn) }) // ends the calls in progress
	defer stop()
	if !c.flood.Unread {
		go func() { _, _ = io.Copy(io.Discard, conn) }() // ends with the connection
	}
	for {
		if _, err := conn.Write(c.nextBatch()); err != nil || c.flood.NewConns {
			return errors.Join(err, ctx.Err())
		}
	}
}

// closeConn closes a connection and ignores the error: it may be closed already.
func closeConn(conn net.Conn) { _ = conn.Close() }

func (c *floodClient) nextBatch() []byte {
	var batch bytes.Buffer
	for range max(1, c.flood.Batch) {
		c.sent++
		batch.Write(encode(c.words(fmt.Sprint(c.prefix, c.sent))...))
	}
	return batch.Bytes()
}
