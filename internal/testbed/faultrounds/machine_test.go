package faultrounds

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"

	"mintspring/internal/testbed/loopback"
	"mintspring/internal/testbed/processtest"
)

// printAddressArg makes the test program print the first address of a round, and run until its standard input ends.
const printAddressArg = "print-address"

func TestMain(m *testing.M) {
	processtest.Main(m, printAddressArg, func(string) error {
		addr, err := LoopbackAddr(1, 0)
		if err != nil {
			return err
		}
		fmt.Println(addr)
		_, err = io.Copy(io.Discard, os.Stdin)
		return err
	})
}

// Two concurrent processes whose IDs select the same network first, such as the test programs of two packages, get different addresses.
func TestProcessesHaveDifferentAddresses(t *testing.T) {
	const (
		maxStarts = 20 * loopback.NetworkCount
		// execIfSameRemainder runs the test program if the process ID has the given remainder, and otherwise exits.
		execIfSameRemainder = `[ $(($$ % $1)) = "$2" ] && exec "$0" "$3" x; exit 7`
	)
	networkRemainder := strconv.Itoa(os.Getpid() % loopback.NetworkCount)
	for range maxStarts {
		cmd := exec.CommandContext(t.Context(), "sh", "-c", execIfSameRemainder, os.Args[0], strconv.Itoa(loopback.NetworkCount), networkRemainder, printAddressArg)
		stdin, err := cmd.StdinPipe()
		if err != nil {
			t.Fatal(err)
		}
		stdout, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		line, readErr := bufio.NewReader(stdout).ReadString('\n')
		own, err := LoopbackAddr(1, 0) // while the other process runs
		if err != nil {
			t.Error(err)
		}
		if err := stdin.Close(); err != nil {
			t.Error(err)
		}
		waitErr := cmd.Wait()
		if readErr == io.EOF {
			continue // the process ID has another remainder
		}
		if readErr != nil || waitErr != nil {
			t.Fatal(readErr, waitErr)
		}
		if other := strings.TrimSpace(line); other == own {
			t.Errorf("two processes use %s", own)
		}
		return
	}
	t.Fatal("no process had an ID with the same remainder")
}
