package clients

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"strconv"

	"mintspring/internal/fleet"
	"mintspring/internal/node/exchange"
)

// Numbers of arguments, the command's name among them.
const (
	getArgs = 4 // KV.GET KEY ID EXTRA
	setArgs = 5 // KV.SET KEY ID EXTRA VALUE
)

// maxExtraNumber bounds the numbers in a request's extra list.
const maxExtraNumber = 1e12

// Errors are sent to the client as they are.
var (
	errNotPrintable     = errors.New("key, id and list of values must be of printable characters")
	errNoClass          = errors.New("no class is named")
	errNoIdempotencyKey = errors.New("a write of this class needs a mark against repeats")
)

// isPrintable reports whether a text can stand in a line or a header as it is.
func isPrintable(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0
}

// isWrite reports whether a command, KV.GET or KV.SET in any case, is the latter.
func isWrite(name []byte) bool { return len(name) == len("KV.SET") && (name[3]|0x20) == 's' }

// parseRequest parses KV.GET KEY ID EXTRA or KV.SET KEY ID EXTRA VALUE. The arguments are copied unless they are owned. The
// text of an error is for the client.
func (c *Config) parseRequest(args [][]byte, at float64, owned bool) (*exchange.Exchange, error) {
	write := isWrite(args[0])
	want := getArgs
	if write {
		want = setArgs
	}
	if len(args) != want {
		return nil, errors.New("wrong number of arguments for '" + string(args[0]) + "'")
	}
	if !isPrintable(args[1]) || !isPrintable(args[2]) || !isPrintable(args[3]) {
		return nil, errNotPrintable
	}
	var copied argBuffer
	if !owned {
		copied = newArgBuffer(args)
	}
	request := &exchange.Exchange{
		Command: copied.add(args[0]), Key: copied.add(args[1]), ID: copied.add(args[2]), Extra: copied.add(args[3]),
		Write: write, ArrivedAt: at,
	}
	if write {
		request.Value = copied.add(args[4])
	}
	if err := c.parseExtra(request); err != nil {
		return nil, err
	}
	request.KeyHash = RingPoint(request.Key)
	return request, nil
}

// argBuffer copies arguments into one allocation. The zero value returns them as they are.
type argBuffer struct {
	buf []byte
}

func newArgBuffer(args [][]byte) argBuffer {
	size := 0
	for _, arg := range args {
		size += len(arg)
	}
	return argBuffer{make([]byte, 0, size)}
}

func (a *argBuffer) add(arg []byte) []byte {
	if a.buf == nil {
		return arg
	}
	start := len(a.buf)
	a.buf = append(a.buf, arg...)
	return a.buf[start:len(a.buf):len(a.buf)]
}

// extraList is what the extra list of a request says that is not stored in the request at once.
type extraList struct {
	class          *Class
	clientLimit    float64 // ms; +Inf: not given
	idempotencyKey bool
}

// parseExtra parses the request's list of names and values. Unknown names are forwarded unread.
func (c *Config) parseExtra(request *exchange.Exchange) error {
	list := extraList{clientLimit: math.Inf(1)}
	for rest := request.Extra; len(rest) > 0; {
		var entry []byte
		entry, rest, _ = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(entry, []byte("="))
		if !ok {
			return fmt.Errorf("'%s' is not a name and a value", entry)
		}
		if err := c.parseEntry(request, &list, name, value); err != nil {
			return err
		}
	}
	if list.class == nil {
		return errNoClass
	}
	if list.class.Effect == fleet.Deduplicated && !list.idempotencyKey {
		return errNoIdempotencyKey // without the key a server would run a repeated write again
	}
	request.Class = list.class.ID
	request.Deadline = c.Deadline(&list.class.Class, request.ArrivedAt, list.clientLimit)
	return nil
}

func (c *Config) parseEntry(request *exchange.Exchange, list *extraList, name, value []byte) error {
	switch string(name) {
	case "c":
		class, known := c.Classes[string(value)]
		if !known {
			return fmt.Errorf("class '%s' is not known", value)
		}
		list.class = class
	case "t":
		request.Tenant = c.Tenants[string(value)]
	case "d":
		limit, ok := parseNumber(value)
		if !ok || limit == 0 {
			return fmt.Errorf("d '%s' is not a time", value)
		}
		list.clientLimit = limit
	case "k":
		list.idempotencyKey = len(value) > 0
	case "h":
		if microseconds, ok := parseNumber(value); ok {
			request.Work = microseconds / 1000
		}
	case "size":
		request.ValueSize, _ = parseNumber(value)
	}
	return nil
}

func parseNumber(value []byte) (float64, bool) {
	v, err := strconv.ParseFloat(string(value), 64)
	return v, err == nil && v >= 0 && v < maxExtraNumber
}

// ringKeyLength is the length of a key that is a point of the ring in hexadecimal digits.
const ringKeyLength = 16

// RingPoint returns the point of a key on the ring: its 16 hexadecimal digits, or the hash of any other key.
func RingPoint(key []byte) fleet.Key {
	if point, err := strconv.ParseUint(string(key), 16, 64); err == nil && len(key) == ringKeyLength {
		return fleet.Key(point)
	}
	hash := fnv.New64a()
	hash.Write(key) //nolint:errcheck // a hash never fails
	return fleet.Key(hash.Sum64())
}
