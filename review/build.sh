#!/bin/sh
# The stand-ins are plain JavaScript in review/lib and need no build of their own. This checks that they can be loaded,
# with the packages that the build of the deploy file has installed.
cd "$(dirname "$0")" && exec node --input-type=module -e "await import('./lib/cluster.js'); console.log('stand-ins: ready');"
