#ifndef SRC_LIBBASE_CALLBACK_GUARD_H_
#define SRC_LIBBASE_CALLBACK_GUARD_H_

#include <memory>
#include <type_traits>
#include <utility>

namespace baobab {

/** Ends the callbacks of an object together with the object. An object that
 * passes callbacks with a pointer to itself to others binds them to a guard,
 * which is its last member and so is destroyed first. For use on one thread. */
class CallbackGuard {
 private:
  struct Token {};

 public:
  /** A callback that does nothing, and returns a default value, once its guard
   * was destroyed or revoked. */
  template <typename F>
  class Bound {
   public:
    template <typename... Args>
    std::invoke_result_t<F&, Args...> operator()(Args&&... args) const {
      if (token_.expired()) {
        return std::invoke_result_t<F&, Args...>();
      }
      return callback_(std::forward<Args>(args)...);
    }

   private:
    friend class CallbackGuard;
    Bound(std::weak_ptr<const Token> token, F callback)
        : token_(std::move(token)), callback_(std::move(callback)) {}

    std::weak_ptr<const Token> token_;
    mutable F callback_;
  };

  CallbackGuard() = default;
  CallbackGuard(const CallbackGuard&) = delete;
  CallbackGuard& operator=(const CallbackGuard&) = delete;

  template <typename F>
  Bound<F> Bind(F callback) const {
    return {token_, std::move(callback)};
  }
  /** Ends all callbacks that are bound now; later ones are not affected. */
  void Revoke() { token_ = std::make_shared<const Token>(); }

 private:
  std::shared_ptr<const Token> token_ = std::make_shared<const Token>();
};

}  // namespace baobab

#endif  // SRC_LIBBASE_CALLBACK_GUARD_H_
