// Command cicadastandin runs stand-ins for the systems that cicadawalk works with:
// databases and the platform.
package main

import (
	"os"

	"cicadawalk.example/cicadawalk/internal/standin/cwstandin"
	"cicadawalk.example/cicadawalk/internal/tool/cwcommand"
)

func main() { os.Exit(cwcommand.Main(cwstandin.NewCommand())) }
