//! Entry point of the program `garnetwall`, which is implemented in the library.

fn main() -> std::process::ExitCode {
    garnetwall_gateway::cli::main()
}
