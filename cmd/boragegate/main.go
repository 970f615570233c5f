// Command boragegate is the operators' command-line tool.
package main

import (
	"os"

	"github.com/boragegate/boragegate/internal/cli"
)

// version is set at build time.
var version = "devel"

func main() { os.Exit(cli.Execute(cli.New(version))) }
