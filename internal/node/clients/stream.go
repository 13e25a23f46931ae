package clients

import (
	"errors"
	"io"

	"mintspring/internal/node/exchange"
)

// writeStream writes a large value, each chunk as it arrives. An error ends the connection, which tells the client that the value is
// incomplete. If nothing has been written yet, the client gets an error reply instead.
func (c *conn) writeStream(value exchange.Stream) error {
	defer value.Close()
	header := appendBulkHeader(nil, value.Size())
	for first := true; ; first = false {
		chunk, err := value.Next()
		switch {
		case errors.Is(err, io.EOF):
			return c.write([]byte(crlf))
		case err != nil && first:
			return c.write([]byte("-ERR the value broke off\r\n"))
		case err != nil:
			return err
		case first:
			if err := c.write(header); err != nil {
				return err
			}
		}
		if err := c.write(chunk); err != nil {
			return err
		}
	}
}
