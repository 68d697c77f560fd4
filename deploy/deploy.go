// Package deploy embeds the example deployments and settings files.
package deploy

import "embed"

// Files contains the YAML files of this directory.
//
//go:embed *.yaml
var Files embed.FS
