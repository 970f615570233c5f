// Command boragegate is the operators' command-line tool. Its command load is a load
// generator.
package main

import (
	"os"

	"github.com/boragegate/boragegate/internal/cli"
	"github.com/boragegate/boragegate/internal/load"
)

// version is the release that the program reports. Builds can set it with
// -ldflags "-X main.version=RELEASE".
var version = "devel"

func main() {
	cmd := cli.New(version)
	cmd.AddCommand(load.Command())
	os.Exit(cli.Execute(cmd))
}
