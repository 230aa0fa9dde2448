#include <iostream>

#include "ctl/cli.h"
#include "ctl/http_client.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + 1, argv + argc);
  return static_cast<int>(
      bluebell::ctl::RunCli(arguments, bluebell::ctl::MakeHttpClient, std::cin,
                            std::cout, std::cerr));
}
