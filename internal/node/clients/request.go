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

// Numbers of arguments, including the command name.
const (
	getArgCount = 4 // KV.GET KEY ID EXTRA
	setArgCount = 5 // KV.SET KEY ID EXTRA VALUE
)

// maxExtraNumber is the exclusive upper bound for numbers in the extra list of a request.
const maxExtraNumber = 1e12

// Errors whose text is sent to the client.
var (
	errNotPrintable     = errors.New("key, id and list of values must be of printable characters")
	errNoClass          = errors.New("no class is named")
	errNoIdempotencyKey = errors.New("a write of this class needs a mark against repeats")
)

// isPrintable reports whether a text is not empty and can be part of a line or a header as it is.
func isPrintable(b []byte) bool {
	for _, c := range b {
		if c < ' ' || c == 0x7f {
			return false
		}
	}
	return len(b) > 0
}

// isWrite reports whether a command name is KV.SET. The name must be KV.GET or KV.SET, in upper or lower case.
func isWrite(name []byte) bool { return len(name) == len("KV.SET") && (name[3]|0x20) == 's' }

// parseRequest parses KV.GET KEY ID EXTRA or KV.SET KEY ID EXTRA VALUE. Unless owned is set, the arguments are copied. The text of an
// error is sent to the client.
func (c *Config) parseRequest(args [][]byte, arrivedAt float64, owned bool) (*exchange.Exchange, error) {
	write := isWrite(args[0])
	want := getArgCount
	if write {
		want = setArgCount
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
		Write: write, ArrivedAt: arrivedAt,
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

// argBuffer copies arguments into one allocation. The zero value returns them uncopied.
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

// parsedExtra holds the entries of an extra list that are checked once the whole list is parsed.
type parsedExtra struct {
	class          *Class
	clientLimit    float64 // ms; +Inf: not given
	idempotencyKey bool
}

// parseExtra parses the extra list of a request, NAME=VALUE entries separated by commas. Entries with unknown names are only forwarded.
func (c *Config) parseExtra(request *exchange.Exchange) error {
	extra := parsedExtra{clientLimit: math.Inf(1)}
	for rest := request.Extra; len(rest) > 0; {
		var entry []byte
		entry, rest, _ = bytes.Cut(rest, []byte(","))
		name, value, ok := bytes.Cut(entry, []byte("="))
		if !ok {
			return fmt.Errorf("'%s' is not a name and a value", entry)
		}
		if err := c.parseEntry(request, &extra, name, value); err != nil {
			return err
		}
	}
	if extra.class == nil {
		return errNoClass
	}
	if extra.class.Effect == fleet.Deduplicated && !extra.idempotencyKey {
		return errNoIdempotencyKey // without the key a server would execute a repeated write again
	}
	request.Class = extra.class.ID
	request.ExecuteOnce = extra.class.Effect != fleet.Idempotent
	request.Deadline = c.Deadline(&extra.class.Class, request.ArrivedAt, extra.clientLimit)
	return nil
}

func (c *Config) parseEntry(request *exchange.Exchange, extra *parsedExtra, name, value []byte) error {
	switch string(name) {
	case "c":
		class, known := c.Classes[string(value)]
		if !known {
			return fmt.Errorf("class '%s' is not known", value)
		}
		extra.class = class
	case "t":
		request.Tenant = c.Tenants[string(value)]
	case "d":
		limit, ok := parseNumber(value)
		if !ok || limit == 0 {
			return fmt.Errorf("d '%s' is not a time", value)
		}
		extra.clientLimit = limit
	case "k":
		extra.idempotencyKey = len(value) > 0
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

// ringKeyLength is the length of a key that states its point on the ring in hexadecimal digits.
const ringKeyLength = 16

// RingPoint returns the point of a key on the ring: the number that a key of 16 hexadecimal digits states, or the hash of any other key.
func RingPoint(key []byte) fleet.Key {
	if point, err := strconv.ParseUint(string(key), 16, 64); err == nil && len(key) == ringKeyLength {
		return fleet.Key(point)
	}
	hash := fnv.New64a()
	hash.Write(key) //nolint:errcheck // a hash never fails
	return fleet.Key(hash.Sum64())
}
