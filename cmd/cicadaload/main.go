// Command cicadaload drives callers against proxies and checks the ledger.
package main

import (
	"os"

	"cicadawalk.example/cicadawalk/internal/tool/cwcommand"
)

func main() { os.Exit(cwcommand.Main(cwcommand.LoadRoot())) }
