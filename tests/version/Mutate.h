// Randomly damages text for parser tests, reproducibly for a given seed.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace peridotquay {

/// Returns a copy of the text after one to four mutations. Each flips a bit, inserts a byte,
/// removes or repeats some bytes, or truncates the text.
inline std::string Mutate(const std::string& aText, std::mt19937_64& aRandom)
{
  const auto atMost = [&aRandom](std::size_t aLimit) {
    return static_cast<std::size_t>(aRandom() % (aLimit + 1));
  };
  auto text = aText;
  for (auto remaining = 1 + atMost(3); remaining > 0; --remaining) {
    const auto position = atMost(text.size());
    switch (aRandom() % 5) {
      case 0:
        text.insert(position, 1, static_cast<char>(aRandom()));
        break;
      case 1:
        text.erase(position, 1 + atMost(8));
        break;
      case 2:
        text.insert(position, text.substr(position, atMost(40)));
        break;
      case 3:
        text.resize(position);
        break;
      default:
        if (position < text.size()) {
          text[position] =
            static_cast<char>(text[position] ^ static_cast<char>(1U << (aRandom() % 8)));
        }
    }
  }
  return text;
}

} // namespace peridotquay
