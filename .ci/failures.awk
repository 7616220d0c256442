# Prints every failed test of Surefire's XML reports and fails if KNOWN-RED.txt does not list one of them.
# usage: awk -f failures.awk KNOWN-RED.txt REPORT...
#
# The fields of an entry of KNOWN-RED.txt after the fourth are the failures that are passed over, each written
# CLASS#TEST ~ TEXT: the test's class, the start of its name, and a text that its stack trace contains. Each passes over
# at most MAX_FAILURES in a run: a fault that fails more tests than the known one did is another fault.

BEGIN {
    MAX_FAILURES = 2
}

FNR == 1 {
    report = FILENAME != "KNOWN-RED.txt"
    if (report) reports++
}

!report && !/^#/ {
    fields = split($0, field, / [|] /)
    for (i = 5; i <= fields; i++) {
        if (split(field[i], part, / ~ /) != 2 || part[1] !~ /^[a-zA-Z0-9_.]+#/ || length(part[2]) < 10) {
            print "KNOWN-RED.txt line " FNR ": not CLASS#TEST ~ TEXT: " field[i]
            invalid = 1
            exit
        }
        listed++
        test[listed] = part[1]
        text[listed] = part[2]
    }
}

report && /^ *<testcase / {
    if (failed) unlisted++
    name = $0
    sub(/.* classname="/, "", name)
    sub(/".*/, "", name)
    method = $0
    sub(/.*<testcase name="/, "", method)
    sub(/".*/, "", method)
    name = name "#" method
    tests++
}

report && /^ *<(failure|error)[ >]/ {
    failed = 1
    trace = ""
}

report && failed {
    trace = trace $0 "\n"
}

report && failed && /<\/(failure|error)>/ {
    failed = 0
    verdict = "FAILED"
    for (i = 1; i <= listed; i++) {
        if (index(name, test[i]) == 1 && index(trace, text[i]) > 0 && ++failures[i] <= MAX_FAILURES) {
            verdict = "KNOWN FAILURE, PASSED OVER"
        }
    }
    print verdict ": " name
    if (verdict == "FAILED") unlisted++
    else known++
}

END {
    if (invalid) exit 1
    print tests + 0 " tests in " reports + 0 " reports: " unlisted + 0 " failed, " known + 0 " failed as KNOWN-RED.txt lists"
    if (unlisted > 0 || failed || tests == 0) exit 1
}
