// Command cicadawalk is a database proxy with session consistency, and the
// tools of its operators.
package main

import (
	"os"

	"cicadawalk.example/cicadawalk/internal/tool/cwcommand"
)

func main() { os.Exit(cwcommand.Main(cwcommand.Root())) }
