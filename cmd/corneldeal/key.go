package main

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/corneldeal/corneldeal/pkg/auth"
)

// keyBytes is the number of random bytes in a new key.
const keyBytes = 32

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "make a key and print it with its digest, or print the digest of a given key",
		Description: "The key goes to the caller; only the digest goes into a release note. The key is shown once\n" +
			"and kept nowhere.",
		ArgsUsage: "[KEY]",
		Action: func(_ context.Context, c *cli.Command) error {
			key := c.Args().First()
			if key == "" {
				key = newKey()
				if _, err := fmt.Fprintln(c.Root().Writer, "key:   ", key); err != nil {
					return err
				}
			}
			_, err := fmt.Fprintln(c.Root().Writer, "digest:", auth.Digest(key))
			return err
		},
	}
}

// newKey returns a new random key.
func newKey() string {
	data := make([]byte, keyBytes)
	// rand.Read never returns an error; it crashes the program if no randomness is available.
	_, _ = rand.Read(data)
	return "cd-" + base64.RawURLEncoding.EncodeToString(data)
}
