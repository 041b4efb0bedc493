# Adds up the lines "promise NAME trials N violations M" of all tests and passes
# the lines "explorer ..." through. Exits with 1 on a violation, on a failed test
# or if a promise had no trial.
BEGIN {
  split("oneExpertMap wholeAnswer notRunMeansNotRun atMostOnce leavingServer plannedStop configInForce poisonRequest", names, " ")
}
/^promise [a-zA-Z]+ trials [0-9]+ violations [0-9]+$/ { trials[$2] += $4; violations[$2] += $6; next }
/^explorer / { print; next }
/^(--- FAIL|FAIL|panic:)/ { print; bad = 1 }
END {
  for (i = 1; i in names; i++) {
    printf "promise %s trials %d violations %d\n", names[i], trials[names[i]], violations[names[i]]
    if (trials[names[i]] == 0 || violations[names[i]] > 0) bad = 1
  }
  exit bad
}
