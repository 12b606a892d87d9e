// Command world plays one case of the review: the system's own processes against stand-ins of
// the platform, of databases and of clients. It exits with 1 if the rule of the case was broken, 0
// if it held, and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(w *world, trouble bool) (bool, error){
	"promotion": latePromotion,
	"values":    largeValues,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("program", "target/cicadawalk", "the system's program")
	dir := flag.String("dir", ".", "folder for the record")
	machines := flag.Int("machines", 4, "number of machines")
	logs := flag.String("logs", "", "folder for the logs of the machines; none are kept if empty")
	flag.Parse()
	os.Exit(play(*name, *program, *dir, *logs, *machines, os.Getenv("TROUBLE") != "0"))
}

func play(name, program, dir, logs string, machines int, trouble bool) int {
	f, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	w, err := newWorld(rec, program, machines)
	if w != nil {
		defer w.close(logs)
		go w.endOnSignal()
	}
	held := false
	if err == nil {
		held, err = f(w, trouble)
	}
	switch {
	case err != nil:
		rec.line("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case !held:
		fmt.Println("the rule was broken")
		return exitBroken
	}
	rec.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
