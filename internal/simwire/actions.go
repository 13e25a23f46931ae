package simwire

import (
	"bufio"
	"encoding/base64"
	"io"
	"strconv"

	"mintspring/internal/fleet"
)

// actionWriter writes actions to the simulator. It keeps the first error, which flush returns.
type actionWriter struct {
	out          *bufio.Writer
	numberBuffer []byte
}

func newActionWriter(out io.Writer) actionWriter {
	return actionWriter{out: bufio.NewWriterSize(out, outputBufferBytes)}
}

// flush sends what was written, and returns the first error since the writer was made.
func (w *actionWriter) flush() error { return w.out.Flush() }

// text writes a text as it is.
func (w *actionWriter) text(s string) {
	_, _ = w.out.WriteString(s) // flush returns the error
}

// integer writes a field with its value; name includes the space before and the equals sign.
func (w *actionWriter) integer(name string, value int64) {
	w.text(name)
	w.numberBuffer = strconv.AppendInt(w.numberBuffer[:0], value, 10)
	_, _ = w.out.Write(w.numberBuffer) // flush returns the error
}

// action begins an action of an instance.
func (w *actionWriter) action(name string, n *instance) {
	w.text(name)
	w.integer(" Who=", n.id)
}

// requestAction begins an action that is about a request.
func (w *actionWriter) requestAction(name string, n *instance, q *fleet.Request) {
	w.action(name, n)
	w.integer(" Job=", int64(q.ID))
}

// server writes the field that names a server.
func (w *actionWriter) server(n *instance, id fleet.ServerID) {
	w.text(" Server=")
	w.text(n.serverNames[id])
}

// end ends an action.
func (w *actionWriter) end() { w.text("\n") }

// serverAction writes an action that names a server and nothing else.
func (w *actionWriter) serverAction(name string, n *instance, id fleet.ServerID) {
	w.action(name, n)
	w.server(n, id)
	w.end()
}

// timer has the simulator report when a time has passed.
func (w *actionWriter) timer(n *instance, micros int64) {
	w.action("DEFER", n)
	w.integer(" In=", micros)
	w.integer(" KeyBack=", n.timerSequence)
	w.end()
}

// decision writes a decision of the module.
func (w *actionWriter) decision(n *instance, q *fleet.Request, d fleet.Decision) {
	switch d.Action {
	case fleet.Send:
		w.requestAction("SEND", n, q)
		w.server(n, d.Server)
		w.integer(" Limit=", max(1, int64(d.Timeout*microsPerMs)))
		w.end()
	case fleet.Reject:
		w.requestAction("DENY", n, q)
		if d.RetryAfter > 0 {
			w.integer(" Wait=", int64(d.RetryAfter*microsPerMs))
		}
		w.end()
	case fleet.Abort:
		w.requestAction("ABORT", n, q)
		w.end()
	case fleet.Cancel:
		w.requestAction("WITHDRAW", n, q)
		w.integer(" Go=", int64(d.Attempt))
		w.end()
	case fleet.Subscribe:
		w.action("KEEP_INFORMED", n)
		w.text(" Active=1")
		w.end()
	case fleet.PollList:
		w.action("FETCH", n)
		w.end()
	case fleet.Probe:
		w.serverAction("PROBE", n, d.Server)
	case fleet.Broadcast:
		w.action("PUBLISH", n)
		w.text(" Whom=* Contents=")
		w.text(base64.StdEncoding.EncodeToString(d.Body))
		w.end()
	}
	if d.CloseIdle {
		w.serverAction("LET_GO", n, d.IdleServer)
	}
}
