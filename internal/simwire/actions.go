package simwire

import (
	"bufio"
	"encoding/base64"
	"io"
	"strconv"

	"mintspring/internal/fleet"
)

// actionWriter writes actions for the simulator. Errors of its methods are deferred: flush returns the first one.
type actionWriter struct {
	out          *bufio.Writer
	numberBuffer []byte
}

func newActionWriter(out io.Writer) actionWriter {
	return actionWriter{out: bufio.NewWriterSize(out, outputBufferBytes)}
}

// flush sends the buffered actions and returns the first error since the writer was created.
func (w *actionWriter) flush() error { return w.out.Flush() }

// text writes a string unchanged.
func (w *actionWriter) text(s string) {
	_, _ = w.out.WriteString(s) // flush returns the error
}

// integer writes a field with an integer value; name includes the leading space and the equals sign.
func (w *actionWriter) integer(name string, value int64) {
	w.text(name)
	w.numberBuffer = strconv.AppendInt(w.numberBuffer[:0], value, 10)
	_, _ = w.out.Write(w.numberBuffer) // flush returns the error
}

// action writes the name of an action and its instance.
func (w *actionWriter) action(name string, inst *instance) {
	w.text(name)
	w.integer(" Who=", inst.id)
}

// requestAction writes the name of an action, its instance and its request.
func (w *actionWriter) requestAction(name string, inst *instance, request *fleet.Request) {
	w.action(name, inst)
	w.integer(" Job=", int64(request.ID))
}

// server writes the field with a server's name.
func (w *actionWriter) server(inst *instance, id fleet.ServerID) {
	w.text(" Server=")
	w.text(inst.serverNames[id])
}

// end ends an action.
func (w *actionWriter) end() { w.text("\n") }

// serverAction writes an action that has no parameter but a server.
func (w *actionWriter) serverAction(name string, inst *instance, id fleet.ServerID) {
	w.action(name, inst)
	w.server(inst, id)
	w.end()
}

// timer asks the simulator for a timer event after the given time.
func (w *actionWriter) timer(inst *instance, micros int64) {
	w.action("DEFER", inst)
	w.integer(" In=", micros)
	w.integer(" KeyBack=", inst.timerSequence)
	w.end()
}

// decision writes the actions for a decision. Decisions about the instance itself have no request.
func (w *actionWriter) decision(inst *instance, request *fleet.Request, d fleet.Decision) {
	switch d.Action {
	case fleet.Send:
		w.requestAction("SEND", inst, request)
		w.server(inst, d.Server)
		w.integer(" Limit=", max(1, int64(d.Timeout*microsPerMs)))
		w.end()
	case fleet.Reject:
		w.requestAction("DENY", inst, request)
		if d.RetryAfter > 0 {
			w.integer(" Wait=", int64(d.RetryAfter*microsPerMs))
		}
		w.end()
	case fleet.Abort:
		w.requestAction("ABORT", inst, request)
		w.end()
	case fleet.Cancel:
		w.requestAction("WITHDRAW", inst, request)
		w.integer(" Go=", int64(d.Attempt))
		w.end()
	case fleet.Subscribe:
		w.action("KEEP_INFORMED", inst)
		w.text(" Active=1")
		w.end()
	case fleet.PollList:
		w.action("FETCH", inst)
		w.end()
	case fleet.Probe:
		w.serverAction("PROBE", inst, d.Server)
	case fleet.Broadcast:
		w.action("PUBLISH", inst)
		w.text(" Whom=* Contents=")
		w.text(base64.StdEncoding.EncodeToString(d.Body))
		w.end()
	}
	if d.CloseIdle {
		w.serverAction("LET_GO", inst, d.IdleServer)
	}
}
