// Command cicadasoak runs proxies as processes, injects random faults, and checks what
// callers see.
package main

import (
	"os"

	"cicadawalk.example/cicadawalk/internal/tool/cwcommand"
)

func main() { os.Exit(cwcommand.Main(cwcommand.SoakCommand())) }
