// Command cicadasoak runs the real proxies under random faults.
package main

import (
	"os"

	"cicadawalk.example/cicadawalk/internal/tool/cwcommand"
)

func main() { os.Exit(cwcommand.Main(cwcommand.SoakRoot())) }
