# Tests of this folder.
