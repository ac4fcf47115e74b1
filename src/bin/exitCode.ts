/** Exit codes of the binaries, after BSD sysexits. */
export enum ExitCode {
  Ok = 0,
  Failure = 1,
  Usage = 64,
  Software = 70,
  Config = 78,
}
