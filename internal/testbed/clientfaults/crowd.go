package clientfaults

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/tidwall/redcon"
)

const (
	// crowdPause is the pause between two steps of a slow client.
	crowdPause = 200 * time.Millisecond
	// crowdPiece is how many bytes a slow client writes or reads at a time.
	crowdPiece = 2 << 10
	// largeValue is the size in bytes of the values that clients of a crowd write.
	largeValue = 1 << 20
	// manyFields is the number of short fields in a command's list of values, or of arguments of a command.
	manyFields = 10_000
	// crowdPipeline is how many commands a client writes at once that reads its replies slowly, or leaves.
	crowdPipeline = 64
)

// crowdClients has what one client of a crowd does on its connection, by the kind of the crowd. The id is unique among the connections.
var crowdClients = map[string]func(ctx context.Context, conn net.Conn, id string) error{
	"slow-writes":    writeSlowly,
	"half-writes":    writeHalf,
	"many-options":   writeManyOptions,
	"many-arguments": writeManyArguments,
	"slow-reads":     func(ctx context.Context, conn net.Conn, id string) error { return readSlowly(ctx, conn, id, 1) },
	"slow-pipelines": func(ctx context.Context, conn net.Conn, id string) error {
		return readSlowly(ctx, conn, id, crowdPipeline)
	},
	"leaving-readers": leaveUnread,
}

// crowdClient runs clients of a crowd, one after the other, until the context ends.
func crowdClient(ctx context.Context, addr string, number int, use func(context.Context, net.Conn, string) error) {
	for round := 0; ctx.Err() == nil; round++ {
		conn, err := net.Dial("tcp4", addr)
		if err != nil {
			time.Sleep(reconnectPause)
			continue
		}
		stop := context.AfterFunc(ctx, func() { closeConn(conn) })
		_ = use(ctx, conn, fmt.Sprintf("c%d-%d", number, round)) // the next client comes, whatever became of this one
		stop()
		closeConn(conn)
		time.Sleep(reconnectPause)
	}
}

func encode(words ...string) []byte {
	b := redcon.AppendArray(nil, len(words))
	for _, word := range words {
		b = redcon.AppendBulkString(b, word)
	}
	return b
}

func encodeLargeWrite(id string) []byte {
	return encode("KV.SET", "large"+id, id, "c=write,t=all,d=1500,k="+id, strings.Repeat("v", largeValue))
}

// writeSlowly writes a large value in pieces, with pauses.
func writeSlowly(ctx context.Context, conn net.Conn, id string) error {
	for b := encodeLargeWrite(id); len(b) > 0 && ctx.Err() == nil; time.Sleep(crowdPause) {
		n, err := conn.Write(b[:min(len(b), 8*crowdPiece)])
		if err != nil {
			return err
		}
		b = b[n:]
	}
	_, err := conn.Read(make([]byte, 1))
	return err
}

// writeHalf writes half of a large write, and waits until the node ends the connection.
func writeHalf(_ context.Context, conn net.Conn, id string) error {
	b := encodeLargeWrite(id)
	if _, err := conn.Write(b[:len(b)/2]); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, conn)
	return err
}

// writeManyOptions writes the head of a read with very many options, and stops before its end.
func writeManyOptions(_ context.Context, conn net.Conn, id string) error {
	b := encode("KV.GET", "key"+id, id, "c=read,t=all,d=500"+strings.Repeat(",a=1", manyFields))
	if _, err := conn.Write(b[:len(b)-1]); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, conn)
	return err
}

// writeManyArguments writes a command with very many short arguments.
func writeManyArguments(_ context.Context, conn net.Conn, _ string) error {
	if _, err := conn.Write(encode(strings.Split(strings.Repeat("a ", manyFields), " ")...)); err != nil {
		return err
	}
	_, err := io.Copy(io.Discard, conn)
	return err
}

// readSlowly writes reads at once, and reads the replies in pieces, with pauses.
func readSlowly(ctx context.Context, conn net.Conn, id string, reads int) error {
	if _, err := conn.Write(encodeReads(id, reads)); err != nil {
		return err
	}
	for b := make([]byte, crowdPiece); ctx.Err() == nil; time.Sleep(crowdPause) {
		if _, err := conn.Read(b); err != nil {
			return err
		}
	}
	return nil
}

func encodeReads(id string, reads int) []byte {
	var batch bytes.Buffer
	for i := range reads {
		batch.Write(encode("KV.GET", fmt.Sprint("key-", i), fmt.Sprint(id, "-", i), "c=read,t=all,d=1500"))
	}
	return batch.Bytes()
}

// leaveUnread writes reads at once, reads a part of the replies, and leaves.
func leaveUnread(_ context.Context, conn net.Conn, id string) error {
	if _, err := conn.Write(encodeReads(id, 4*crowdPipeline)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, crowdPiece))
	return err
}
