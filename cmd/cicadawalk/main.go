// Command cicadawalk runs a database proxy with session consistency, and has the commands
// to operate it.
package main

import (
	"os"

	"cicadawalk.example/cicadawalk/internal/tool/cwcommand"
)

func main() { os.Exit(cwcommand.Main(cwcommand.RootCommand())) }
