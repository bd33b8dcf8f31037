// Damages text for parser tests, the same way for the same seed.
#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace peridotquay {

/// A copy of the text with one to four bytes changed, inserted, removed or repeated, or cut off.
inline std::string Mutate(const std::string& aText, std::mt19937_64& aRandom)
{
  const auto below = [&aRandom](std::size_t aLimit) {
    return static_cast<std::size_t>(aRandom() % (aLimit + 1));
  };
  auto text = aText;
  for (auto left = 1 + below(3); left > 0; --left) {
    const auto place = below(text.size());
    switch (aRandom() % 5) {
      case 0:
        text.insert(place, 1, static_cast<char>(aRandom()));
        break;
      case 1:
        text.erase(place, 1 + below(8));
        break;
      case 2:
        text.insert(place, text.substr(place, below(40)));
        break;
      case 3:
        text.resize(place);
        break;
      default:
        if (place < text.size()) {
          text[place] = static_cast<char>(text[place] ^ static_cast<char>(1U << (aRandom() % 8)));
        }
    }
  }
  return text;
}

} // namespace peridotquay
