// Command rhubarbgate serves online and batch inference on one fleet. Each role is a subcommand.
package main

import (
	"os"

	"rhubarbgate.example/rhubarbgate/internal/command/rhubarbgate"
)

func main() { os.Exit(rhubarbgate.Main(os.Args[1:], os.Stdout, os.Stderr)) }
