// Command boragegate is the operators' command-line tool. It also has the load
// generator.
package main

import (
	"os"

	"github.com/boragegate/boragegate/internal/cli"
	"github.com/boragegate/boragegate/internal/load"
)

// version is the release; set at build time.
var version = "devel"

func main() {
	cmd := cli.New(version)
	cmd.AddCommand(load.Command())
	os.Exit(cli.Execute(cmd))
}
