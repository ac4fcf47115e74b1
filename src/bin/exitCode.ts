/** Exit codes of the binaries; those from 64 follow BSD `sysexits.h`. */
export enum ExitCode {
  Ok = 0,
  Failure = 1,
  Usage = 64,
  Software = 70,
  Config = 78,
}
