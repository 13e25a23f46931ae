package admin

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	"mintspring/internal/testbed/goldentest"
)

// echoHandler replies with the call and its arguments.
type echoHandler struct{}

func (echoHandler) Status() (string, error)                 { return "", errors.New("on standby") }
func (echoHandler) ExcludeServer(id string) (string, error) { return "maint-on:" + id, nil }
func (echoHandler) ReadmitServer(id string) (string, error) { return "maint-off:\x01" + id, nil }
func (echoHandler) EnterStandby() (string, error)           { return "standby:", nil }
func (echoHandler) LeaveStandby() (string, error)           { return "active:", nil }
func (echoHandler) Peers() (string, error)                  { return `{"peers":"é"}`, nil }
func (echoHandler) RollingRestart(args []string) (string, error) {
	return fmt.Sprintf("roll:%q", args), nil
}
func (echoHandler) IdempotencyStatus() (string, error) { return "book:", nil }
func (echoHandler) ChangeMembership(change string, args []string) (string, error) {
	return fmt.Sprintf("council:%s%q", change, args), nil
}

// goldenCalls are calls as sent to the admin port, byte for byte.
var goldenCalls = []string{
	"status\n", "maint-on box-0\r\n", "maint-off  box-1 \n", "standby\n", "active\nstatus\n", "peers\n", "book\n", "roll show\n",
	"roll start 2 box-0,box-1\n", "roll\n", "council-take-in 2 1\n", "council-add 4\n", "council-drop 1\n", "council-\n",
	"\n", "reboot\n", "council\n", "STATUS\n", "status now\n", "book all\n", "maint-on\n", "maint-off a b\n", "maint-on \xff\n", "a\tb\n",
	"maint-on s-1", strings.Repeat("a", maxLineBytes) + "\n", "maint-on " + strings.Repeat("b", maxLineBytes-len("maint-on \n")) + "\n",
}

// TestGolden compares the replies to fixed calls, byte for byte, with a file written by an earlier build. The file has a line for each
// call and a line for its reply, both quoted.
func TestGolden(t *testing.T) {
	addr := startServer(t, echoHandler{})
	got := ""
	for _, text := range goldenCalls {
		conn := dial(t, addr)
		write(t, conn, text)
		if err := conn.CloseWrite(); err != nil {
			t.Fatal(err)
		}
		reply, err := io.ReadAll(conn)
		if err != nil {
			t.Fatalf("%.40q: %v", text, err)
		}
		got += strconv.Quote(text) + "\n" + strconv.Quote(string(reply)) + "\n"
	}
	golden := goldentest.Read(t, "calls.txt")
	if got != string(golden) {
		t.Errorf("replies:\n%s\nwant:\n%s", got, golden)
	}
}
