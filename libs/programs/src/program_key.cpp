#include <heathergate/programs/commands.h>

#include <algorithm>

namespace heathergate::programs {

namespace {

constexpr std::size_t kMaxNameLength = 100;

auto isNameCharacter(char c) -> bool
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-'
           || c == '_';
}

} // namespace

auto rootOf(const ProgramKey &key) -> ProgramKey
{
    return {key.customer, ProgramId(key.program.value.substr(0, key.program.value.find('.')))};
}

auto isValidProgramName(std::string_view name) -> bool
{
    if (name.empty() || name.size() > kMaxNameLength)
        return false;
    char previous = '.';
    for (const auto c : name) {
        if (c == '.' ? previous == '.' : !isNameCharacter(c))
            return false;
        previous = c;
    }
    return previous != '.';
}

} // namespace heathergate::programs
