// Command cicadaload generates load on proxies and checks what callers were told against
// the records in the database.
package main

import (
	"os"

	"cicadawalk.example/cicadawalk/internal/tool/cwcommand"
)

func main() { os.Exit(cwcommand.Main(cwcommand.LoadCommand())) }
