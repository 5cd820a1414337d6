#pragma once

#include <utility>

#include "routing/routing_table.h"

namespace berylgauge {

/// One outstanding request at an endpoint; the count goes down when the reservation is destroyed.
class EndpointReservation {
 public:
  /// Takes over a count that was acquired from the endpoint's state.
  explicit EndpointReservation(RoutedEndpointPtr endpoint) : m_endpoint(std::move(endpoint)) {}
  ~EndpointReservation() { Release(); }
  EndpointReservation(EndpointReservation&& other) noexcept : m_endpoint(std::move(other.m_endpoint)) {}
  EndpointReservation& operator=(EndpointReservation&& other) noexcept {
    if (this != &other) {
      Release();
      m_endpoint = std::move(other.m_endpoint);
    }
    return *this;
  }
  EndpointReservation(const EndpointReservation&) = delete;
  EndpointReservation& operator=(const EndpointReservation&) = delete;

  const RoutedEndpoint& endpoint() const { return *m_endpoint; }

  /// Keeps the endpoint's description beyond the reservation, for instance to exclude it from a retry.
  const RoutedEndpointPtr& shared_endpoint() const { return m_endpoint; }

 private:
  void Release() {
    if (m_endpoint) m_endpoint->state->Release();
    m_endpoint.reset();
  }

  RoutedEndpointPtr m_endpoint;
};

}  // namespace berylgauge
