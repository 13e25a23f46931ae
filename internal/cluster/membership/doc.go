// Package membership tracks which nodes of a fleet are alive. It implements SWIM (Das, Gupta, Motivala, 2002): once per probe interval
// a node pings one other node, in an order that is shuffled for each round. A node that does not answer is pinged through others
// (indirect ping), then suspected, and declared dead when nothing has refuted the suspicion within a time that grows with the size of the
// fleet and shrinks as more nodes confirm the suspicion. Lifeguard's extensions (Dadgar, Phillips, Currey, 2018) are included: a node
// that fails to reach several others raises its health score, which lengthens its probe interval and probe timeouts, and a suspicion
// starts with a long timeout.
//
// Two rules go beyond those papers. A node that has received nothing for several probe intervals considers itself isolated. It declares
// nobody dead until it receives datagrams again and the others have had time to be heard. Each start of a process is a new incarnation
// of its node, which overrides all claims about earlier incarnations.
//
// The package does no I/O and reads no clock: the caller passes the time, in milliseconds, and sends the messages that are returned. One
// goroutine must own a List.
package membership
