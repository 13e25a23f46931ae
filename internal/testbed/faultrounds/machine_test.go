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

// printAddress has the test program print the first address of a round and hold on to it until its standard input ends.
const printAddress = "print-address"

func TestMain(m *testing.M) {
	processtest.Main(m, printAddress, func(string) error {
		addr, err := LoopbackAddr(1, 0)
		if err != nil {
			return err
		}
		fmt.Println(addr)
		_, err = io.Copy(io.Discard, os.Stdin)
		return err
	})
}

// Two processes whose ids agree in the bits that choose a network first have different addresses: the test programs of two packages run at once.
func TestProcessesHaveDifferentAddresses(t *testing.T) {
	const (
		maxStarts = 20 * loopback.NetworkCount
		// runIfSameNet becomes the test program if the id of the process has the remainder that is asked for.
		runIfSameNet = `[ $(($$ % $1)) = "$2" ] && exec "$0" "$3" x; exit 7`
	)
	net := strconv.Itoa(os.Getpid() % loopback.NetworkCount)
	for range maxStarts {
		cmd := exec.CommandContext(t.Context(), "sh", "-c", runIfSameNet, os.Args[0], strconv.Itoa(loopback.NetworkCount), net, printAddress)
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
			continue // another id
		}
		if readErr != nil || waitErr != nil {
			t.Fatal(readErr, waitErr)
		}
		if other := strings.TrimSpace(line); other == own {
			t.Errorf("two processes use %s", own)
		}
		return
	}
	t.Fatal("no process had an id of the same remainder")
}
