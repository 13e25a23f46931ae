//go:build review

package main

import (
	"fmt"
	"os"
)

// verdict is the result of a case.
type verdict struct {
	broken  bool
	summary string
}

var cases = map[string]func(*world) verdict{
	"6":  hangingNode,
	"7":  unansweredUpload,
	"8":  unclaimedSale,
	"9":  goneServerAfterReload,
	"10": forgottenPlan,
}

// main runs a case: review-2 CASE FOLDER. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2]))
}

func runCase(run func(*world) verdict, folder string) (code int) {
	var w *world
	defer func() {
		if p := recover(); p != nil {
			fmt.Println("cannot run:", p)
			code = 2
		}
		if w != nil {
			w.end()
		}
	}()
	w = newWorld(folder)
	v := run(w)
	w.logf("%s", v.summary)
	w.printLogs()
	fmt.Println(v.summary)
	if v.broken {
		return 1
	}
	return 0
}
